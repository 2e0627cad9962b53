/**
 * Bodies for requests. No two of a run are equal: each carries its number in front, so that an answer
 * that belongs to another request is seen as wrong.
 */

import type { IRandom } from '../../base/common/random';

const numberLength = 12;
const byteRange = 256;

/** Makes the bodies of one run. */
export class BodySource {
	private readonly filler: Buffer;

	constructor(bodyBytes: number, random: IRandom) {
		this.filler = Buffer.from(Array.from({ length: bodyBytes }, () => random.pickBelow(byteRange)));
	}

	/** The body of the n-th request. */
	createBody(sequence: number): Buffer {
		const body = Buffer.from(this.filler);
		body.write(
			String(sequence)
				.padStart(numberLength, '0')
				.slice(-body.length || undefined),
		);
		return body;
	}
}
