/**
 * The zones of the fleet, for the sharing of limits.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId, RegionName, ZoneName } from '../../../core/ids/common/ids';
import type { KnownInstance } from '../../common/fleetView/fleetView';
import type { IZoneDirectory, ZoneEntries } from '../../common/limits/zoneDirectory';
import type { EntryFleet } from '../fleet/entryFleet';

/** This entry, as far as zones are concerned. */
export interface OwnPlace {
	readonly id: InstanceId;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly isLeaving: () => boolean;
	/** Lists all configured regions. */
	readonly listRegions: () => readonly RegionName[];
}

/** The zones are asked for with each report, and change with the fleet only. */
const lifetimeMs = 200;

/**
 * Time for which a silent entry counts as one that uses its share of the limits. It may be cut off from this one and
 * serve callers all the same.
 */
const knownForMs = 30_000;

/**
 * Time after a start from which the entries known so far count as the fleet, if there are others. Entries that start
 * together exchange views several times by then. Buckets are empty after a start, so entries that are still unknown cost
 * little, whereas a longer wait would refuse all requests of limited organisations after each restart of the fleet.
 */
const settleMs = 600;

interface ZoneList {
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly live: InstanceId[];
	known: number;
}

export class FleetZones implements IZoneDirectory {
	private zones: readonly ZoneEntries[] = [];
	private listedMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly own: OwnPlace,
		private readonly fleet: Pick<EntryFleet, 'listViews' | 'getFleetPosition'>,
		private readonly timers: ITimerService,
	) {}

	listZones(): readonly ZoneEntries[] {
		const nowMs = this.timers.getNow();
		if (nowMs - this.listedMs >= lifetimeMs) {
			this.listedMs = nowMs;
			this.zones = this.createZones();
		}
		return this.zones;
	}

	countFleet(): number {
		const { entries, startedMs } = this.fleet.getFleetPosition();
		const isSettled = this.timers.getNow() - startedMs >= settleMs && this.fleet.listViews().length > 0;
		if (Number.isFinite(entries) || !isSettled) {
			return entries;
		}
		return this.listZones().reduce((sum, { known }) => sum + known, 0);
	}

	private createZones(): readonly ZoneEntries[] {
		const { id, region, zone, isLeaving, listRegions } = this.own;
		const zones = new Map<ZoneName, ZoneList>();
		zones.set(zone, { region, zone, live: isLeaving() ? [] : [id], known: 1 });
		for (const known of this.fleet.listViews()) {
			addEntry(zones, known);
		}
		const lists = [...zones.values()].filter(({ known }) => known > 0);
		return [...lists, ...createUnknownRegions(lists, listRegions())];
	}
}

function addEntry(zones: Map<ZoneName, ZoneList>, { view, isSuspect, ageMs }: KnownInstance): void {
	const { zone, region, instance, isLeaving } = view;
	const list = zones.get(zone) ?? { region, zone, live: [], known: 0 };
	zones.set(zone, list);
	if (isLeaving || (isSuspect && ageMs > knownForMs)) {
		return;
	}
	list.known++;
	if (!isSuspect) {
		list.live.push(instance);
	}
}

/**
 * A configured region without a known entry counts as large as the largest of the others, like in the size of the fleet:
 * its entries may be cut off, and use their share all the same.
 */
function createUnknownRegions(
	lists: readonly ZoneList[],
	regions: readonly RegionName[],
): readonly ZoneEntries[] {
	const sizes = new Map<RegionName, number>();
	for (const { region, known } of lists) {
		sizes.set(region, (sizes.get(region) ?? 0) + known);
	}
	const known = Math.max(...sizes.values());
	return regions
		.filter(region => !sizes.has(region))
		.map(region => ({ zone: `all of ${region}` as ZoneName, live: [], known }));
}
