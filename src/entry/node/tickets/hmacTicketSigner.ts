/**
 * Signs and verifies tickets with a truncated HMAC-SHA-256.
 */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { ITicketSigner } from '../../common/tickets/ticket';

/** 128 bits: guessing a signature takes 2^127 attempts on average, and tickets stay short. */
const signatureBytes = 16;

function computeSignature(key: string, text: string): Buffer {
	return createHmac('sha256', key).update(text).digest().subarray(0, signatureBytes);
}

function isSameSignature(expected: Buffer, given: Buffer): boolean {
	return expected.length === given.length && timingSafeEqual(expected, given);
}

/**
 * Signs with the current key, and also accepts signatures made with the previous one: entries switch to a new key one
 * after another, and tickets issued before must remain valid until they expire.
 */
export class HmacTicketSigner implements ITicketSigner {
	constructor(
		private readonly currentKey: string,
		private readonly previousKey?: string,
	) {}

	sign(text: string): string {
		return computeSignature(this.currentKey, text).toString('base64url');
	}

	verify(text: string, signature: string): boolean {
		const given = Buffer.from(signature, 'base64url');
		if (given.toString('base64url') !== signature) {
			return false;
		}
		const isCurrent = isSameSignature(computeSignature(this.currentKey, text), given);
		const isPrevious =
			this.previousKey !== undefined && isSameSignature(computeSignature(this.previousKey, text), given);
		return isCurrent || isPrevious;
	}
}
