/**
 * The schedulers that are compared, with their names in the result tables.
 */

import type { IRandom } from '../../base/common/random';
import { FifoScheduler } from '../../entry/common/scheduling/fifoScheduler';
import { defaultSchedulingPolicy } from '../../entry/common/scheduling/policy';
import { ServiceScheduler } from '../../entry/common/scheduling/scheduler';
import type { IServiceScheduler } from '../../entry/common/scheduling/serviceScheduler';
import { BaselinePolicy, BaselineScheduler } from './baselines';

/** A scheduler that takes part in a comparison. */
export interface Contender {
	readonly name: string;
	readonly create: (random: IRandom) => IServiceScheduler;
}

/** The product's scheduler with its default policy. */
export const ours: Contender = {
	name: 'anvilroad',
	create: random => new ServiceScheduler(random),
};

/** The product's scheduler without a retry budget: every failed attempt is retried while attempts are left. */
export const oursWithoutBudget: Contender = {
	name: 'no retry budget',
	create: random =>
		new ServiceScheduler(random, {
			...defaultSchedulingPolicy,
			retry: { ...defaultSchedulingPolicy.retry, maxSavedRetries: Number.MAX_SAFE_INTEGER },
		}),
};

export const fifo: Contender = { name: 'fifo', create: () => new FifoScheduler() };

function createBaseline(policy: BaselinePolicy): Contender {
	return { name: policy, create: random => new BaselineScheduler(policy, random, false) };
}

export const randomChoice = createBaseline(BaselinePolicy.Random);
export const roundRobin = createBaseline(BaselinePolicy.RoundRobin);
export const leastInFlight = createBaseline(BaselinePolicy.LeastInFlight);
export const leastReported = createBaseline(BaselinePolicy.LeastReported);

export const retryingAlways: Contender = {
	name: 'retries always',
	create: random => new BaselineScheduler(BaselinePolicy.LeastInFlight, random, true),
};

/** The schedulers that every load pattern is run with. */
export const allContenders: readonly Contender[] = [ours, fifo, randomChoice, roundRobin, leastInFlight];
