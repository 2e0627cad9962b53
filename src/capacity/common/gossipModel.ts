/**
 * Simulates how information propagates through a fleet by view exchanges. The model uses the entry's own
 * `ExchangePlanner` and `FleetView`, advances in rounds of one exchange period and has no network. It computes after
 * how many rounds all nodes have a manifest version that only one node received, how many nodes hold a capacity
 * offer of another region that is recent enough to use, and after which silence an entry is suspected.
 */

import { SeededRandom } from '../../base/common/random';
import type { EntryView } from '../../entry/common/fleetView/entryView';
import { ExchangePlanner } from '../../entry/common/fleetView/exchangePlanner';
import { FleetView } from '../../entry/common/fleetView/fleetView';
import type { InstanceId, ManifestVersion } from '../../core/ids/common/ids';
import { createSyntheticView } from './syntheticView';

/** The result of one run of the model. */
export interface GossipResult {
	readonly nodes: number;
	/** Rounds until 90 percent of the nodes, or all nodes, have the new manifest version. */
	readonly roundsToMost: number;
	readonly roundsToAll: number;
	/** Percentage of nodes with a usable offer of another region, averaged over the rounds since the publication. */
	readonly offeredPercent: number;
	/** Time without a new view after which an entry is suspected. */
	readonly suspectAfterSeconds: number;
}

const placeholderUrl = 'http://127.0.0.1:30001';
const roundMs = 1_000;
const publishRound = 10;
const roundCount = 40;
/** Entries send no requests to another region based on older offers. */
const maxOfferAgeMs = 5_000;
const mostNodesFraction = 0.9;
const percentFactor = 100;
const newManifestVersion = 2 as ManifestVersion;

/** Simulates a fleet of this many nodes with random choices from the seed. */
export function runGossipModel(nodes: number, seed: number): GossipResult {
	const model = new GossipModel(nodes, seed);
	const updatedCounts: number[] = [];
	const offeredCounts: number[] = [];
	for (let round = 1; round < roundCount; round++) {
		if (round === publishRound) {
			model.setManifestVersion(0, newManifestVersion);
		}
		model.advance(round * roundMs);
		if (round >= publishRound) {
			updatedCounts.push(model.countUpdatedNodes());
			offeredCounts.push(model.countNodesWithRemoteOffer(round * roundMs));
		}
	}
	const mean = offeredCounts.reduce((sum, count) => sum + count, 0) / offeredCounts.length;
	return {
		nodes,
		roundsToMost: findFirstRound(updatedCounts, mostNodesFraction * nodes),
		roundsToAll: findFirstRound(updatedCounts, nodes),
		offeredPercent: (percentFactor * mean) / nodes,
		suspectAfterSeconds: model.computeSuspectTimeoutMs() / roundMs,
	};
}

class GossipModel {
	private readonly views: EntryView[] = [];
	private readonly fleetViews: FleetView[] = [];
	private readonly planners: ExchangePlanner[] = [];
	private readonly nodeIndexes = new Map<InstanceId, number>();

	constructor(nodes: number, seed: number) {
		const random = new SeededRandom(seed);
		for (let index = 0; index < nodes; index++) {
			const view = createSyntheticView(index, 1, placeholderUrl);
			const fleet = new FleetView(view.instance);
			this.views.push(view);
			this.fleetViews.push(fleet);
			this.planners.push(new ExchangePlanner(view, fleet, random));
			this.nodeIndexes.set(view.instance, index);
		}
		for (const fleet of this.fleetViews) {
			fleet.merge(this.views, 0);
		}
	}

	advance(nowMs: number): void {
		this.planners.forEach((planner, index) => {
			for (const { view } of planner.pickPeers(nowMs)) {
				this.exchange(index, this.nodeIndexes.get(view.instance) ?? index, nowMs);
			}
		});
	}

	setManifestVersion(index: number, manifestVersion: ManifestVersion): void {
		this.updateView(index, { manifestVersion });
	}

	countUpdatedNodes(): number {
		return this.views.filter(({ manifestVersion }) => manifestVersion === newManifestVersion).length;
	}

	countNodesWithRemoteOffer(nowMs: number): number {
		return this.fleetViews.filter((fleet, index) =>
			fleet
				.list(nowMs)
				.some(({ view, ageMs }) => ageMs <= maxOfferAgeMs && view.region !== this.views[index]?.region),
		).length;
	}

	computeSuspectTimeoutMs(): number {
		return this.fleetViews[0]?.computeSuspectTimeout() ?? Number.NaN;
	}

	private exchange(from: number, to: number, nowMs: number): void {
		const sent = this.listViews(from, to, nowMs);
		const answered = this.listViews(to, from, nowMs);
		this.receive(to, sent, nowMs);
		this.receive(from, answered, nowMs);
	}

	private listViews(from: number, to: number, nowMs: number): readonly EntryView[] {
		const own = this.updateView(from, {});
		return this.planners[from]?.listViews(own, this.views[to]?.instance, nowMs) ?? [];
	}

	private receive(index: number, views: readonly EntryView[], nowMs: number): void {
		this.fleetViews[index]?.merge(views, nowMs);
		if (views.some(({ manifestVersion }) => manifestVersion === newManifestVersion)) {
			this.setManifestVersion(index, newManifestVersion);
		}
	}

	private updateView(index: number, change: Partial<EntryView>): EntryView {
		const before = this.views[index] ?? createSyntheticView(index, 1, placeholderUrl);
		const view = { ...before, ...change, sequence: before.sequence + 1 };
		this.views[index] = view;
		return view;
	}
}

function findFirstRound(counts: readonly number[], minCount: number): number {
	const index = counts.findIndex(count => count >= minCount);
	return index < 0 ? Number.POSITIVE_INFINITY : index + 1;
}
