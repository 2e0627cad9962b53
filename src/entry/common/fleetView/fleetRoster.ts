/**
 * Determines which entries of each region were known lately, and when an entry that has started may rely on that.
 *
 * Views of other entries are kept for minutes after their last report, so suspicion, silence and a cut do not change the
 * number. An entry that has just started holds few views or none. It relies on the number only after an entry that has
 * been up for longer reported the size of its region; if all have just started, after they had the time to find
 * each other; and if it reaches no other entry, never.
 */

import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import { RecentMaximum } from '../../../base/common/recentMaximum';
import type { EntryRoster } from './entryRoster';
import { computeSenderRank } from './entryRoster';
import type { EntryView, RegionSize } from './entryView';
import type { FleetView } from './fleetView';

/** An instance that is listed as live and has no view. */
export interface UnviewedInstance {
	readonly id: InstanceId;
	readonly region: RegionName;
}

/** The place of an entry among all that share a limit of the fleet. */
export interface FleetPosition {
	/** Number of entries, including this one; infinite if it is not known. */
	readonly entries: number;
	/** Zero-based index of this entry in an order that all entries compute alike. */
	readonly rank: number;
	/** When this entry's process started, in monotonic milliseconds. */
	readonly startedMs: number;
}

/** Time in which entries that start together find each other. */
const settleMs = 10_000;

/** Name of the order in which entries share limits of the fleet. */
const fleetLimit = 'fleet';

/** The position changes with the fleet only, and is asked for with each failed request. */
const positionLifetimeMs = 500;

/** Time for which a reported size counts, equal to that for which views of silent entries are kept at least. */
const sizeWindowMs = 120_000;

/** The entries that one entry has known lately. */
export class FleetRoster {
	private readonly reportedSizes = new Map<RegionName, RecentMaximum>();
	private hasReachedPeer = false;
	private hasReliableReport = false;
	private position: FleetPosition | undefined;
	private positionMs = 0;

	constructor(
		private readonly self: { readonly id: InstanceId; readonly region: RegionName },
		private readonly fleetView: FleetView,
		/** Lists the instances that the platform lists as live and that have no view yet. */
		private readonly listUnviewed: () => readonly UnviewedInstance[],
		/** Whether other entries may exist. */
		private readonly mayHavePeers: boolean,
		private readonly startedMs: number,
		/** Lists all regions that have entries, as configured. */
		private readonly listRegions: () => readonly RegionName[] = () => [],
	) {}

	/** Records the view that a peer sent of itself. */
	notePeer({ regionSizes }: EntryView, isNew: boolean, nowMs: number): void {
		this.hasReachedPeer = true;
		this.hasReliableReport ||= !isNew;
		for (const { region, entries } of regionSizes) {
			const known = this.reportedSizes.get(region) ?? new RecentMaximum(sizeWindowMs);
			this.reportedSizes.set(region, known);
			known.add(entries, nowMs);
		}
	}

	/** Lists the sizes to report to peers: the entries that this one knows itself, not what others reported. */
	listSizes(): readonly RegionSize[] {
		const counts = new Map<RegionName, number>([[this.self.region, 1]]);
		for (const { region } of [...this.fleetView.listPlaces(), ...this.listUnviewed()]) {
			counts.set(region, (counts.get(region) ?? 0) + 1);
		}
		return [...counts].map(([region, entries]) => ({ region, entries }));
	}

	/** Returns the entries that share the targets of this entry's region. */
	getRoster(nowMs: number): EntryRoster {
		const { id, region } = this.self;
		const others = [...this.fleetView.listPlaces(), ...this.listUnviewed()]
			.filter(known => known.region === region)
			.map(known => known.id);
		const reported = this.reportedSizes.get(region)?.get(nowMs) ?? 0;
		const size = Math.max(others.length + 1, reported);
		return { self: id, others, size, isKnown: this.isKnown(nowMs) };
	}

	/** Returns the place of this entry among the entries of all regions. */
	getPosition(nowMs: number): FleetPosition {
		if (this.position === undefined || nowMs - this.positionMs >= positionLifetimeMs) {
			this.positionMs = nowMs;
			this.position = this.computePosition(nowMs);
		}
		return this.position;
	}

	private computePosition(nowMs: number): FleetPosition {
		const { id: self } = this.self;
		const others = [...this.fleetView.listPlaces(), ...this.listUnviewed()].map(known => known.id);
		const size = this.countAll(nowMs);
		const rank = computeSenderRank({ self, others, size, isKnown: Number.isFinite(size) }, fleetLimit);
		return { entries: size, rank, startedMs: this.startedMs };
	}

	/**
	 * Returns the number of entries of all regions that were known lately; infinite if the fleet is not known. A
	 * region without a known entry counts as the largest of the others: its entries may be cut off, and share the
	 * limits all the same.
	 */
	countAll(nowMs: number): number {
		if (!this.isKnown(nowMs)) {
			return Number.POSITIVE_INFINITY;
		}
		const own = new Map(this.listSizes().map(({ region, entries }) => [region, entries]));
		const regions = new Set([...own.keys(), ...this.reportedSizes.keys()]);
		const sizes = [...regions].map(region =>
			Math.max(own.get(region) ?? 0, this.reportedSizes.get(region)?.get(nowMs) ?? 0),
		);
		const unknown = this.listRegions().filter(region => !regions.has(region)).length;
		return sizes.reduce((sum, size) => sum + size, unknown * Math.max(...sizes));
	}

	private isKnown(nowMs: number): boolean {
		const isSettled = this.hasReachedPeer && nowMs - this.startedMs >= settleMs;
		return !this.mayHavePeers || this.hasReliableReport || isSettled;
	}
}
