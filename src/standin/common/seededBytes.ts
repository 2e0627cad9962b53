/**
 * A stream of bytes that depends on nothing but its seed, so that a reader can check each of them.
 */

import type { IRandom } from '../../base/common/random';
import { SeededRandom } from '../../base/common/random';

const byteValues = 256;

/** Gives the bytes of a seed in order. */
export class SeededBytes {
	private readonly random: IRandom;

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
	}

	take(count: number): Uint8Array {
		return Uint8Array.from({ length: count }, () => this.random.pickBelow(byteValues));
	}
}
