/**
 * A pseudo-random byte stream that depends only on its seed, so that a client can verify each byte.
 */

import type { IRandom } from '../../base/common/random';
import { SeededRandom } from '../../base/common/random';

const byteValues = 256;

/** Generates the bytes for a seed in order. */
export class SeededBytes {
	private readonly random: IRandom;

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
	}

	take(count: number): Uint8Array {
		return Uint8Array.from({ length: count }, () => this.random.pickBelow(byteValues));
	}
}
