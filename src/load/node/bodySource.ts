/**
 * Creates the request bodies of a load run. Each body begins with the sequence number of its request, so that an
 * answer that belongs to another request is detected.
 */

import type { IRandom } from '../../base/common/random';

const sequenceDigits = 12;
const byteValueCount = 256;

/** Creates request bodies of a fixed size. All share the same random filler after the sequence number. */
export class BodySource {
	private readonly filler: Buffer;

	constructor(bodyBytes: number, random: IRandom) {
		this.filler = Buffer.from(Array.from({ length: bodyBytes }, () => random.pickBelow(byteValueCount)));
	}

	/** Returns the body of the request with this sequence number. Short bodies hold only its last digits. */
	createBody(sequence: number): Buffer {
		const body = Buffer.from(this.filler);
		body.write(
			String(sequence)
				.padStart(sequenceDigits, '0')
				.slice(-body.length || undefined),
		);
		return body;
	}
}
