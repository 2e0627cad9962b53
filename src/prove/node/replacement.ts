/**
 * The last phase: all entries are replaced, one of each region at a time, under callers who follow lookups
 * and refusals, and under streams that are longer than the grace of a stop.
 */

import { SeededRandom } from '../../base/common/random';
import { listEntriesInRegion, listTargetsInRegion } from '../../demo/common/deploymentAddresses';
import { regions, services } from '../../demo/common/exampleNames';
import { CallSender } from '../common/callSender';
import { Follower } from '../common/callers/follower';
import { regionKeys } from '../common/calls';
import { FaultKind } from '../common/faultSchedule';
import { Phase } from '../common/sendRecord';
import type { CampaignPlan } from './campaign';
import { CampaignCallers } from './campaignCallers';
import { renewEntry } from './faults/entryFaults';
import { withLeaving } from './faults/platformFaults';
import type { Field } from './field';

/** Tokens of a draft that lasts longer than the grace of a stop. */
const longDraftTokens = 600;
const drainedRegion = regions.ocho;
const seedStride = 2_000;

/** Replaces all entries; the short form replaces one of each region. */
export async function runReplacement(field: Field, plan: CampaignPlan): Promise<void> {
	const { stage, log } = field;
	const sender = new CallSender(stage, log, Phase.Replacement);
	const callers = new CampaignCallers(stage, sender, plan.seed + seedStride);
	await drainEngines(field);
	callers.start(longDraftTokens);
	for (const home of regionKeys) {
		callers.startCaller(`follower-${home}`, home, surroundings => new Follower(surroundings, log));
	}
	const random = new SeededRandom(plan.seed + seedStride);
	await Promise.all(regionKeys.map(region => renewRegion(field, region, random, plan.isShort)));
	await callers.stop();
}

/** Without engines of its own, a region's drafts are relayed by entries of two regions. */
async function drainEngines({ stage, manifests }: Field): Promise<void> {
	const drained = listTargetsInRegion(stage.addresses, services.assistant, drainedRegion).map(({ id }) => id);
	await manifests.putAndWait(withLeaving(stage.manifest, drained));
}

async function renewRegion(
	field: Field,
	region: string,
	random: SeededRandom,
	isShort: boolean,
): Promise<void> {
	const entries = listEntriesInRegion(field.stage.addresses, region);
	const first = random.pickBelow(entries.length);
	const chosen = isShort ? entries.slice(first, first + 1) : entries;
	for (const entry of chosen) {
		field.log.noteFault(FaultKind.StopEntry, entry.instance);
		await renewEntry(field, entry);
	}
}
