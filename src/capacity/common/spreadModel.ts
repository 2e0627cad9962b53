/**
 * How news spreads through a fleet that speaks by the entry's own exchange plan, in rounds of one exchange
 * period and without a network: when a manifest that one node alone has seen is known to all, how many nodes
 * hold an offer of another region that is young enough to use, and how long an entry may be silent before it
 * is suspected.
 */

import { SeededRandom } from '../../base/common/random';
import type { EntryView } from '../../entry/common/fleetView/entryView';
import { ExchangePlanner } from '../../entry/common/fleetView/exchangePlanner';
import { FleetView } from '../../entry/common/fleetView/fleetView';
import type { InstanceId, ManifestVersion } from '../../core/ids/common/ids';
import { createSyntheticView } from './syntheticView';

/** What one run of the model gave. */
export interface Spread {
	readonly nodes: number;
	/** Rounds until nine in ten nodes, and until all, know of the new manifest. */
	readonly roundsToMost: number;
	readonly roundsToAll: number;
	/** Part of the nodes, in percent, that hold a usable offer of another region; the mean of the later rounds. */
	readonly offeredPercent: number;
	readonly suspectAfterSeconds: number;
}

const placeholderUrl = 'http://127.0.0.1:30001';
const roundMs = 1_000;
const publishRound = 10;
const rounds = 40;
/** Offers older than this are not used for sending away. */
const usableOfferMs = 5_000;
const mostShare = 0.9;
const wholePercent = 100;
const newVersion = 2 as ManifestVersion;

/** Runs a fleet of a size from a seed. */
export function computeSpread(nodes: number, seed: number): Spread {
	const fleet = new SpreadModel(nodes, seed);
	const holders: number[] = [];
	const offered: number[] = [];
	for (let round = 1; round < rounds; round++) {
		if (round === publishRound) {
			fleet.setVersion(0, newVersion);
		}
		fleet.advance(round * roundMs);
		if (round >= publishRound) {
			holders.push(fleet.countHolders());
			offered.push(fleet.countOffered(round * roundMs));
		}
	}
	const mean = offered.reduce((sum, count) => sum + count, 0) / offered.length;
	return {
		nodes,
		roundsToMost: findRound(holders, mostShare * nodes),
		roundsToAll: findRound(holders, nodes),
		offeredPercent: (wholePercent * mean) / nodes,
		suspectAfterSeconds: fleet.computeSuspectAfter() / roundMs,
	};
}

class SpreadModel {
	private readonly views: EntryView[] = [];
	private readonly fleets: FleetView[] = [];
	private readonly plans: ExchangePlanner[] = [];
	private readonly indexes = new Map<InstanceId, number>();

	constructor(nodes: number, seed: number) {
		const random = new SeededRandom(seed);
		for (let index = 0; index < nodes; index++) {
			const view = createSyntheticView(index, 1, placeholderUrl);
			const fleet = new FleetView(view.instance);
			this.views.push(view);
			this.fleets.push(fleet);
			this.plans.push(new ExchangePlanner(view, fleet, random));
			this.indexes.set(view.instance, index);
		}
		for (const fleet of this.fleets) {
			fleet.merge(this.views, 0);
		}
	}

	advance(nowMs: number): void {
		this.plans.forEach((plan, index) => {
			for (const { view } of plan.pickPeers(nowMs)) {
				this.exchange(index, this.indexes.get(view.instance) ?? index, nowMs);
			}
		});
	}

	setVersion(index: number, manifestVersion: ManifestVersion): void {
		this.updateView(index, { manifestVersion });
	}

	countHolders(): number {
		return this.views.filter(({ manifestVersion }) => manifestVersion === newVersion).length;
	}

	countOffered(nowMs: number): number {
		return this.fleets.filter((fleet, index) =>
			fleet
				.list(nowMs)
				.some(({ view, ageMs }) => ageMs <= usableOfferMs && view.region !== this.views[index]?.region),
		).length;
	}

	computeSuspectAfter(): number {
		return this.fleets[0]?.computeSuspectTimeout() ?? Number.NaN;
	}

	private exchange(from: number, to: number, nowMs: number): void {
		const sent = this.listViews(from, to, nowMs);
		const answered = this.listViews(to, from, nowMs);
		this.receive(to, sent, nowMs);
		this.receive(from, answered, nowMs);
	}

	private listViews(from: number, to: number, nowMs: number): readonly EntryView[] {
		const own = this.updateView(from, {});
		return this.plans[from]?.listViews(own, this.views[to]?.instance, nowMs) ?? [];
	}

	private receive(index: number, views: readonly EntryView[], nowMs: number): void {
		this.fleets[index]?.merge(views, nowMs);
		if (views.some(({ manifestVersion }) => manifestVersion === newVersion)) {
			this.setVersion(index, newVersion);
		}
	}

	private updateView(index: number, change: Partial<EntryView>): EntryView {
		const before = this.views[index] ?? createSyntheticView(index, 1, placeholderUrl);
		const view = { ...before, ...change, sequence: before.sequence + 1 };
		this.views[index] = view;
		return view;
	}
}

function findRound(holders: readonly number[], wanted: number): number {
	const index = holders.findIndex(count => count >= wanted);
	return index < 0 ? Number.POSITIVE_INFINITY : index + 1;
}
