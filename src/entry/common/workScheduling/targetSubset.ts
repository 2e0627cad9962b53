/**
 * Chooses which targets an entry (proxy process) prefers, so that each of them answers it often enough.
 *
 * The load it is designed for is many entries before about as many targets whose speed changes within half a second.
 * Reports come only with answers. An entry that spreads its requests over all targets has an answer of each every few seconds,
 * has no report of its present load, and all entries send to those that looked fast. If it prefers as many targets as
 * answer it within the time for which a report is of use, it sees most of their load and slow periods, and few other
 * entries use the same targets.
 *
 * The preferred targets follow from the entry's rank among the entries, so that each target is preferred by equally many
 * entries. The targets of an entry lie far apart in the order of all, so that two entries rarely share more than one, and
 * load spreads over the whole fleet. An entry with many requests prefers more targets, and one with all requests all.
 */

import type { FleetPosition } from '../fleetView/fleetRoster';
import { DecayingSum } from '../scheduling/decayingSum';
import type { RankedTarget } from '../scheduling/prefixRanking';

/** Parameters of the preferred targets. */
export interface SubsetParameters {
	/** Mean time between two reports of a preferred target, in milliseconds; all targets are preferred if infinite. */
	readonly reportIntervalMs: number;
	/** Minimum number of preferred targets. */
	readonly minPreferredTargets: number;
}

/** Time in which a request loses 63% of its weight in the rate of requests, in milliseconds. */
const rateTimeConstantMs = 3_000;

/** Number of entries by which each target is preferred at least, so that no target is idle where entries are few. */
const minEntriesPerTarget = 3;

/** The golden ratio: multiples of it, modulo 1, are spread evenly whatever their number. */
const goldenRatio = 0.618_033_988_75;

/** The preferred targets of one service at one entry. */
export class TargetSubset<TTarget extends RankedTarget> {
	private readonly starts = new DecayingSum(rateTimeConstantMs);
	private preferred: ReadonlySet<TTarget> = new Set();

	constructor(private readonly parameters: SubsetParameters) {}

	noteStart(nowMs: number): void {
		this.starts.add(1, nowMs);
	}

	/** Chooses the preferred targets anew. */
	update(targets: readonly TTarget[], { entries, rank }: FleetPosition, nowMs: number): void {
		const perMs = this.starts.getValue(nowMs) / rateTimeConstantMs;
		const { reportIntervalMs, minPreferredTargets } = this.parameters;
		const isPositionKnown = Number.isFinite(entries) && Number.isFinite(rank);
		const isLimited = isPositionKnown && Number.isFinite(reportIntervalMs);
		const count = Math.max(
			minPreferredTargets,
			Math.ceil((minEntriesPerTarget * targets.length) / Math.max(1, entries)),
			Math.ceil(perMs * reportIntervalMs),
		);
		if (count >= targets.length || !isLimited) {
			this.preferred = new Set(targets);
			return;
		}
		const sorted = [...targets].sort((left, right) => left.idHash - right.idHash);
		const first = Math.floor((rank * targets.length) / Math.max(1, entries));
		const step = findStep(targets.length);
		const indices = new Set(
			Array.from({ length: count }, (_, index) => (first + index * step) % sorted.length),
		);
		this.preferred = new Set(sorted.filter((_, index) => indices.has(index)));
	}

	isPreferred(target: TTarget): boolean {
		return this.preferred.size === 0 || this.preferred.has(target);
	}
}

/** Returns the step nearest to the golden ratio of `count` that reaches all indices below `count`. */
function findStep(count: number): number {
	let step = Math.max(1, Math.round(count * goldenRatio));
	while (computeDivisor(step, count) > 1) {
		step++;
	}
	return step;
}

function computeDivisor(left: number, right: number): number {
	return right === 0 ? left : computeDivisor(right, left % right);
}
