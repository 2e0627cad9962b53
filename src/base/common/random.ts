/**
 * Seeded random numbers. All code that makes random choices gets its random source passed in, so that a run can be
 * repeated with the same seed.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniformly distributed numbers. */
export interface IRandom {
	/** A number in [0, 1). */
	pickFraction(): number;
	/** An integer in [0, bound). */
	pickBelow(bound: number): number;
}

const unsignedRange = 0x1_0000_0000;

/**
 * Number of draws discarded at the start. A small seed sets few bits of the generator's state, and the first draws from
 * such a state are close to 1 (seed 1: 1.000, 0.996, 0.997), so all runs with small seeds would start with the same
 * extreme choices.
 */
const discardedDraws = 64;

/** A repeatable source of random numbers. Not for secrets. */
export class SeededRandom implements IRandom {
	private readonly generator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
		for (let draw = 0; draw < discardedDraws; draw++) {
			this.generator.next();
		}
	}

	pickFraction(): number {
		return (this.generator.next() >>> 0) / unsignedRange;
	}

	pickBelow(bound: number): number {
		return Math.floor(this.pickFraction() * bound);
	}
}

/** Returns the items in a uniformly random order. */
export function orderRandomly<TItem>(random: IRandom, items: readonly TItem[]): TItem[] {
	const remaining = [...items];
	return items.flatMap(() => remaining.splice(random.pickBelow(remaining.length), 1));
}
