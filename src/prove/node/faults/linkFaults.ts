/**
 * Faults of the links between regions: all links of one region are cut, or their open connections fall
 * silent; or the region is cut off from the others and from the platform, with an entry killed inside.
 */

import type { EntryAddresses, LinkAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { waitFor, waitUntil } from '../../../demo/common/poll';
import type { RegionKey } from '../../common/calls';
import { createCheck, regionKeys } from '../../common/calls';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import { Told } from '../../common/sendRecord';
import type { Field, IFault } from '../field';
import { getAt } from '../field';
import { getPlatformLink } from '../preparedExample';
import { killAndRestart } from './entryFaults';

const cutMs = 1_500;
const servesWithinMs = 5_000;
/** How links are cut; the stand-in knows each by this name. */
const cutManners = ['black-hole', 'reset'] as const;

/** Cuts a region off from the other regions; the platform is still there. */
export class CutLinksFault implements IFault {
	readonly kind = FaultKind.CutLinks;

	async run(field: Field, place: number): Promise<void> {
		const region = getAt(regionKeys, place);
		const cut = getAt(cutManners, field.random.pickBelow(cutManners.length));
		field.log.noteFault(this.kind, `${region}, ${cut}`);
		await setLinks(field, listRegionLinks(field, region), { cut });
		await waitFor(field.stage.timers, cutMs);
		await setLinks(field, listRegionLinks(field, region), { cut: 'none' });
	}
}

/** Silences, for good, the connections that are open between a region and the others. */
export class SilenceLinksFault implements IFault {
	readonly kind = FaultKind.SilenceLinks;

	async run(field: Field, place: number): Promise<void> {
		const region = getAt(regionKeys, place);
		field.log.noteFault(this.kind, region);
		await setLinks(field, listRegionLinks(field, region), { silenceOpen: true });
		await waitFor(field.stage.timers, cutMs);
	}
}

/** Leaves a region alone with itself, kills one of its entries and starts it anew inside the cut. */
export class IsolateRegionFault implements IFault {
	readonly kind = FaultKind.IsolateRegion;

	async run(field: Field, place: number): Promise<void> {
		const region = getAt(regionKeys, place);
		const entries = listEntriesInRegion(field.stage.addresses, region);
		const cut = getAt(cutManners, field.random.pickBelow(cutManners.length));
		const killed = getAt(entries, field.random.pickBelow(entries.length));
		field.log.noteFault(this.kind, `${region}, ${cut}, ${killed.instance} killed inside`);
		const links = [...listRegionLinks(field, region), ...listLinksNamed(field, getPlatformLink(region))];
		for (const entry of entries) {
			field.disturbances.begin(entry.instance);
		}
		await setLinks(field, links, { cut });
		await this.checkServed(field, region, entries);
		await killAndRestart(field, killed);
		await this.checkServed(field, region, entries);
		await setLinks(field, links, { cut: 'none' });
		for (const entry of entries) {
			field.disturbances.end(entry.instance, field.stage.timers.getNow());
		}
	}

	/** Every entry of the region answers a call of the region's own. */
	private async checkServed(
		field: Field,
		region: RegionKey,
		entries: readonly EntryAddresses[],
	): Promise<void> {
		await Promise.all(
			entries.map(async entry => {
				let number = 0;
				const isServed = await waitUntil(field.stage.timers, servesWithinMs, async () => {
					number++;
					const callId = `isolated-${entry.instance}-${field.log.sends.length}-${number}`;
					const { record } = await field.sender.send(createCheck(callId, region), entry);
					return record.told === Told.Answered;
				});
				if (!isServed) {
					field.log.noteViolation(Invariant.IsolatedRegionServes, entry.instance);
				}
			}),
		);
	}
}

async function setLinks(field: Field, links: readonly LinkAddresses[], patch: object): Promise<void> {
	await Promise.all(links.map(({ admin, name }) => field.stage.admin.setFaults(admin, name, patch)));
}

/** The links that lead from a region to another or back. */
function listRegionLinks({ stage }: Field, region: string): LinkAddresses[] {
	return stage.addresses.links.filter(
		({ name }) => name.startsWith(`${region}-to-entry-`) || name.includes(`-to-entry-${region}`),
	);
}

function listLinksNamed({ stage }: Field, wanted: string): LinkAddresses[] {
	return stage.addresses.links.filter(({ name }) => name === wanted);
}
