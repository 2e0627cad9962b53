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
import type { EntryView, RegionSize } from './entryView';
import type { FleetView } from './fleetView';

/** An instance that is listed as live and has no view. */
export interface UnviewedInstance {
	readonly id: InstanceId;
	readonly region: RegionName;
}

/** Time in which entries that start together find each other. */
const settleMs = 10_000;

/** Time for which a reported size counts, equal to that for which views of silent entries are kept at least. */
const sizeWindowMs = 120_000;

/** The entries that one entry has known lately. */
export class FleetRoster {
	private readonly reportedSizes = new Map<RegionName, RecentMaximum>();
	private hasReachedPeer = false;
	private hasReliableReport = false;

	constructor(
		private readonly self: { readonly id: InstanceId; readonly region: RegionName },
		private readonly fleetView: FleetView,
		/** Lists the instances that the platform lists as live and that have no view yet. */
		private readonly listUnviewed: () => readonly UnviewedInstance[],
		/** Whether other entries may exist. */
		private readonly mayHavePeers: boolean,
		private readonly startedMs: number,
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

	/** Returns the number of entries of all regions that were known lately; infinite if the fleet is not known. */
	countAll(nowMs: number): number {
		if (!this.isKnown(nowMs)) {
			return Number.POSITIVE_INFINITY;
		}
		const own = new Map(this.listSizes().map(({ region, entries }) => [region, entries]));
		const regions = new Set([...own.keys(), ...this.reportedSizes.keys()]);
		return [...regions].reduce(
			(sum, region) => sum + Math.max(own.get(region) ?? 0, this.reportedSizes.get(region)?.get(nowMs) ?? 0),
			0,
		);
	}

	private isKnown(nowMs: number): boolean {
		const isSettled = this.hasReachedPeer && nowMs - this.startedMs >= settleMs;
		return !this.mayHavePeers || this.hasReliableReport || isSettled;
	}
}
