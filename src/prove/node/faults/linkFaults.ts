/**
 * Faults of the links between regions: all links of one region are cut, or their open connections stop
 * carrying data, or the region is isolated from the other regions and the platform while one of its entries
 * is killed.
 */

import type { EntryAddresses, LinkAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { waitFor, waitUntil } from '../../../demo/common/poll';
import type { RegionKey } from '../../common/calls';
import { createCheck, regionKeys } from '../../common/calls';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import { SendOutcome } from '../../common/sendRecord';
import type { CampaignContext, IFault } from '../campaignContext';
import { pickByIndex } from '../campaignContext';
import { getPlatformLink } from '../preparedExample';
import { killAndStartEntry } from './entryFaults';

const faultMs = 1_500;
const isolatedAnswerTimeoutMs = 5_000;
/** The ways in which links are cut, by their names in the settings of the simulated links. */
const cutModes = ['black-hole', 'reset'] as const;

/** Cuts a region off from the other regions. The platform stays reachable. */
export class CutLinksFault implements IFault {
	readonly kind = FaultKind.CutLinks;

	async run(context: CampaignContext, place: number): Promise<void> {
		const region = pickByIndex(regionKeys, place);
		const cut = pickByIndex(cutModes, context.random.pickBelow(cutModes.length));
		context.log.recordFault(this.kind, `${region}, ${cut}`);
		await setLinks(context, listRegionLinks(context, region), { cut });
		await waitFor(context.stage.timers, faultMs);
		await setLinks(context, listRegionLinks(context, region), { cut: 'none' });
	}
}

/** Permanently silences the open connections between a region and the other regions. */
export class SilenceLinksFault implements IFault {
	readonly kind = FaultKind.SilenceLinks;

	async run(context: CampaignContext, place: number): Promise<void> {
		const region = pickByIndex(regionKeys, place);
		context.log.recordFault(this.kind, region);
		await setLinks(context, listRegionLinks(context, region), { silenceOpen: true });
		await waitFor(context.stage.timers, faultMs);
	}
}

/**
 * Cuts a region off from the other regions and the platform, and meanwhile kills and restarts one of its
 * entries.
 */
export class IsolateRegionFault implements IFault {
	readonly kind = FaultKind.IsolateRegion;

	async run(context: CampaignContext, place: number): Promise<void> {
		const region = pickByIndex(regionKeys, place);
		const entries = listEntriesInRegion(context.stage.addresses, region);
		const cut = pickByIndex(cutModes, context.random.pickBelow(cutModes.length));
		const killed = pickByIndex(entries, context.random.pickBelow(entries.length));
		context.log.recordFault(this.kind, `${region}, ${cut}, ${killed.instance} killed while isolated`);
		const links = [...listRegionLinks(context, region), ...findLinks(context, getPlatformLink(region))];
		for (const entry of entries) {
			context.disruptions.begin(entry.instance);
		}
		await setLinks(context, links, { cut });
		await this.checkEntriesAnswer(context, region, entries);
		await killAndStartEntry(context, killed);
		await this.checkEntriesAnswer(context, region, entries);
		await setLinks(context, links, { cut: 'none' });
		for (const entry of entries) {
			context.disruptions.end(entry.instance, context.stage.timers.getNow());
		}
	}

	/** Checks that every entry of the region answers a call whose home region this is. */
	private async checkEntriesAnswer(
		context: CampaignContext,
		region: RegionKey,
		entries: readonly EntryAddresses[],
	): Promise<void> {
		await Promise.all(
			entries.map(async entry => {
				let number = 0;
				const isAnswered = await waitUntil(context.stage.timers, isolatedAnswerTimeoutMs, async () => {
					number++;
					const callId = `isolated-${entry.instance}-${context.log.sends.length}-${number}`;
					const { record } = await context.sender.send(createCheck(callId, region), entry);
					return record.told === SendOutcome.Answered;
				});
				if (!isAnswered) {
					context.log.recordViolation(Invariant.IsolatedRegionAnswers, entry.instance);
				}
			}),
		);
	}
}

async function setLinks(
	context: CampaignContext,
	links: readonly LinkAddresses[],
	patch: object,
): Promise<void> {
	await Promise.all(links.map(({ admin, name }) => context.stage.admin.setFaults(admin, name, patch)));
}

/** The links between a region and the other regions, in both directions. */
function listRegionLinks({ stage }: CampaignContext, region: string): LinkAddresses[] {
	return stage.addresses.links.filter(
		({ name }) => name.startsWith(`${region}-to-entry-`) || name.includes(`-to-entry-${region}`),
	);
}

function findLinks({ stage }: CampaignContext, linkName: string): LinkAddresses[] {
	return stage.addresses.links.filter(({ name }) => name === linkName);
}
