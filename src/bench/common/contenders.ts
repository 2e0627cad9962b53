/**
 * The schedulers that are compared, each under the name that the tables give it.
 */

import type { IRandom } from '../../base/common/random';
import { FifoScheduler } from '../../entry/common/scheduling/fifoScheduler';
import { defaultSchedulingPolicy } from '../../entry/common/scheduling/policy';
import { ServiceScheduler } from '../../entry/common/scheduling/scheduler';
import type { IServiceScheduler } from '../../entry/common/scheduling/serviceScheduler';
import { PlainChoice, PlainScheduler } from './baselines';

/** One of the schedulers in a comparison. */
export interface Contender {
	readonly name: string;
	readonly create: (random: IRandom) => IServiceScheduler;
}

export const ours: Contender = {
	name: 'anvilroad',
	create: random => new ServiceScheduler(random),
};

/** Ours without its budget: every failed attempt is made again while attempts are left. */
export const oursWithoutBudget: Contender = {
	name: 'no retry budget',
	create: random =>
		new ServiceScheduler(random, {
			...defaultSchedulingPolicy,
			retry: { ...defaultSchedulingPolicy.retry, maxSavedRetries: Number.MAX_SAFE_INTEGER },
		}),
};

export const fifo: Contender = { name: 'fifo', create: () => new FifoScheduler() };

function createPlain(choice: PlainChoice): Contender {
	return { name: choice, create: random => new PlainScheduler(choice, random, false) };
}

export const randomChoice = createPlain(PlainChoice.Random);
export const roundRobin = createPlain(PlainChoice.RoundRobin);
export const leastInFlight = createPlain(PlainChoice.LeastInFlight);
export const leastReported = createPlain(PlainChoice.LeastReported);

export const retryingAlways: Contender = {
	name: 'retries always',
	create: random => new PlainScheduler(PlainChoice.LeastInFlight, random, true),
};

/** Those that every pattern is run with. */
export const allContenders: readonly Contender[] = [ours, fifo, randomChoice, roundRobin, leastInFlight];
