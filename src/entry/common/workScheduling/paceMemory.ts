/**
 * Learns how long a reported slowness stays true: the autocorrelation of the reports of a service's targets, by the time
 * between them.
 *
 * Targets have slow periods of some tenths of a second, and reports come only with answers. A scheduler that trusts
 * every report for seconds avoids targets that have long recovered, and one that trusts none sends requests into slow
 * periods. How long periods last differs between deployments, so it is learned: each report is compared with the one
 * before it of the same target, both as deviations from the lasting slowness of the target. The ratio of the products
 * to the squares is the share of a deviation that remains after that time, by least squares.
 *
 * All targets of a service share the result, because an entry (proxy process) among many gets a report of each target
 * only every few seconds.
 */

/** Parameters of the learned autocorrelation. */
export interface PaceMemoryParameters {
	/** Time in which a reported deviation loses 63% of its weight until enough pairs of reports have been seen. */
	readonly initialPaceTimeConstantMs: number;
	/** Number of pairs of reports that count as much as the initial value. */
	readonly initialPacePairs: number;
	/** Number of pairs of reports that are remembered for each range of ages. */
	readonly rememberedPacePairs: number;
}

/** Sums over pairs of deviations whose times differ by an age in one range. */
interface AgeRange {
	products: number;
	squares: number;
	pairs: number;
}

/** Lower bound of the second range of ages, in milliseconds. Each further range is twice as long as the one before. */
const shortestAgeMs = 25;
const rangeCount = 10;

/** The share of a reported deviation that remains after some time. */
export class PaceMemory {
	private readonly ranges: readonly AgeRange[] = Array.from({ length: rangeCount }, () => ({
		products: 0,
		squares: 0,
		pairs: 0,
	}));
	private squares = 0;
	private pairs = 0;

	constructor(private readonly parameters: PaceMemoryParameters) {}

	/** Records two relative deviations of one target's slowness from its lasting value, `ageMs` apart. */
	notePair(earlier: number, later: number, ageMs: number): void {
		const range = this.ranges[findRange(ageMs)];
		if (range === undefined) {
			return;
		}
		const keptShare = 1 - 1 / this.parameters.rememberedPacePairs;
		range.products = range.products * keptShare + earlier * later;
		range.squares = range.squares * keptShare + earlier * earlier;
		range.pairs = range.pairs * keptShare + 1;
		this.squares = this.squares * keptShare + earlier * earlier;
		this.pairs = this.pairs * keptShare + 1;
	}

	/** Returns the share of a deviation that remains after `ageMs`, in [0, 1]. */
	computeShare(ageMs: number): number {
		const initial = Math.exp(-Math.max(0, ageMs) / this.parameters.initialPaceTimeConstantMs);
		const range = this.ranges[findRange(ageMs)];
		if (range === undefined || range.pairs === 0 || this.squares === 0) {
			return initial;
		}
		const initialSquares = (this.parameters.initialPacePairs * this.squares) / this.pairs;
		const share = (initial * initialSquares + range.products) / (initialSquares + range.squares);
		return Math.min(1, Math.max(0, share));
	}
}

function findRange(ageMs: number): number {
	return Math.min(rangeCount - 1, Math.max(0, 1 + Math.floor(Math.log2(Math.max(1, ageMs) / shortestAgeMs))));
}
