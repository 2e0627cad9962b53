/**
 * The last phase of a campaign, a rolling replacement: all entries are stopped and started again, one of each
 * region at a time, while callers follow lookups and refusals and streams run longer than the grace period of
 * a stop.
 */

import { SeededRandom } from '../../base/common/random';
import { listEntriesInRegion, listTargetsInRegion } from '../../demo/common/deploymentAddresses';
import { regions, services } from '../../demo/common/exampleNames';
import { CallSender } from '../common/callSender';
import { LookupCaller } from '../common/callers/lookupCaller';
import { regionKeys } from '../common/calls';
import { FaultKind } from '../common/faultSchedule';
import { Phase } from '../common/sendRecord';
import type { CampaignPlan } from './campaign';
import { CampaignCallers } from './campaignCallers';
import type { CampaignContext } from './campaignContext';
import { stopAndStartEntry } from './faults/entryFaults';
import { withLeavingTargets } from './faults/platformFaults';

/** Tokens of a draft that takes longer than the grace period of a stop. */
const longDraftTokens = 600;
const drainedRegion = regions.ocho;
const seedStride = 2_000;

/** Replaces all entries. The short form replaces one entry of each region. */
export async function runReplacement(context: CampaignContext, plan: CampaignPlan): Promise<void> {
	const { stage, log } = context;
	const sender = new CallSender(stage, log, Phase.Replacement);
	const callers = new CampaignCallers(stage, sender, plan.seed + seedStride);
	await drainEngines(context);
	callers.start(longDraftTokens);
	for (const home of regionKeys) {
		callers.startCaller(`follower-${home}`, home, callerContext => new LookupCaller(callerContext, log));
	}
	const random = new SeededRandom(plan.seed + seedStride);
	await Promise.all(regionKeys.map(region => runRegionReplacement(context, region, random, plan.isShort)));
	await callers.stop();
}

/** Drains the inference engines of one region, so that its drafts are relayed by entries of two regions. */
async function drainEngines({ stage, manifestMonitor }: CampaignContext): Promise<void> {
	const drainedIds = listTargetsInRegion(stage.addresses, services.assistant, drainedRegion).map(
		({ id }) => id,
	);
	await manifestMonitor.putAndWait(withLeavingTargets(stage.manifest, drainedIds));
}

async function runRegionReplacement(
	context: CampaignContext,
	region: string,
	random: SeededRandom,
	isShort: boolean,
): Promise<void> {
	const entries = listEntriesInRegion(context.stage.addresses, region);
	const first = random.pickBelow(entries.length);
	const chosen = isShort ? entries.slice(first, first + 1) : entries;
	for (const entry of chosen) {
		context.log.recordFault(FaultKind.StopEntry, entry.instance);
		await stopAndStartEntry(context, entry);
	}
}
