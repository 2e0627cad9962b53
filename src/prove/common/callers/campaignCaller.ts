/**
 * The loop of a campaign's callers: each makes one call after the other until it is stopped, and ends when
 * its last call has ended.
 */

import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { waitFor } from '../../../demo/common/poll';
import type { DeploymentContext } from '../../../demo/common/scenario';
import type { CallSender } from '../callSender';
import type { RegionKey } from '../calls';

/** What every caller needs to make its calls. */
export interface CallerContext {
	readonly stage: DeploymentContext;
	readonly sender: CallSender;
	readonly random: IRandom;
	/** Name of the caller, which its call ids begin with. */
	readonly name: string;
	readonly home: RegionKey;
}

/** A kind of caller. */
export interface ICampaignCaller {
	/** Makes one call, with all its resends. */
	runCall(callId: string): Promise<void>;
}

const minPauseMs = 20;
const pauseRangeMs = 60;

/** Runs calls, with a short random pause after each, until `isStopped` returns true. */
export async function runCaller(
	caller: ICampaignCaller,
	callerContext: CallerContext,
	isStopped: () => boolean,
): Promise<void> {
	const { name, random, stage } = callerContext;
	for (let number = 1; !isStopped(); number++) {
		await caller.runCall(`${name}-${number}`);
		await waitForRandomPause(stage.timers, random);
	}
}

async function waitForRandomPause(timers: ITimerService, random: IRandom): Promise<void> {
	await waitFor(timers, minPauseMs + random.pickBelow(pauseRangeMs));
}

/** Picks one of the items at random. Throws if there is none. */
export function pickRandom<TItem>(random: IRandom, items: readonly TItem[]): TItem {
	const item = items[random.pickBelow(items.length)];
	if (item === undefined) {
		throw new Error('cannot pick from an empty list');
	}
	return item;
}

/** Picks an entry of a region at random. */
export function pickRandomEntry({ stage, random }: CallerContext, region: string): EntryAddresses {
	return pickRandom(random, listEntriesInRegion(stage.addresses, region));
}
