/**
 * A caller of a campaign: it calls again and again until it is told to stop, and ends with its last call.
 */

import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { waitFor } from '../../../demo/common/poll';
import type { DeploymentContext } from '../../../demo/common/scenario';
import type { CallSender } from '../callSender';
import type { RegionKey } from '../calls';

/** What all callers are given. */
export interface CallerSurroundings {
	readonly stage: DeploymentContext;
	readonly sender: CallSender;
	readonly random: IRandom;
	/** Names this caller; its call ids begin with it. */
	readonly name: string;
	readonly home: RegionKey;
}

/** Makes calls, one after the other. */
export interface ICampaignCaller {
	/** One call with all its resends. */
	runCall(callId: string): Promise<void>;
}

const shortestPauseMs = 20;
const pauseRangeMs = 60;

/** Runs calls until `isStopped`. */
export async function runCaller(
	caller: ICampaignCaller,
	surroundings: CallerSurroundings,
	isStopped: () => boolean,
): Promise<void> {
	const { name, random, stage } = surroundings;
	for (let number = 1; !isStopped(); number++) {
		await caller.runCall(`${name}-${number}`);
		await waitShortly(stage.timers, random);
	}
}

async function waitShortly(timers: ITimerService, random: IRandom): Promise<void> {
	await waitFor(timers, shortestPauseMs + random.pickBelow(pauseRangeMs));
}

/** One of the items, at random; there must be one. */
export function pickOne<TItem>(random: IRandom, items: readonly TItem[]): TItem {
	const item = items[random.pickBelow(items.length)];
	if (item === undefined) {
		throw new Error('there is nothing to pick from');
	}
	return item;
}

/** An entry of a region, at random. */
export function pickEntry({ stage, random }: CallerSurroundings, region: string): EntryAddresses {
	return pickOne(random, listEntriesInRegion(stage.addresses, region));
}
