/**
 * The keyed check of tickets: a truncated HMAC-SHA-256.
 */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { ITicketSigner } from '../../common/tickets/ticket';

/** 128 bits: guessing one check takes 2^127 tries on average, and the ticket stays short. */
const checkBytes = 16;

function computeCheck(key: string, text: string): Buffer {
	return createHmac('sha256', key).update(text).digest().subarray(0, checkBytes);
}

function isSameCheck(expected: Buffer, given: Buffer): boolean {
	return expected.length === given.length && timingSafeEqual(expected, given);
}

/**
 * Signs with the current key and accepts the previous one too, since entries take a new key over one after
 * the other and tickets issued before must keep their meaning until they expire.
 */
export class HmacTicketSigner implements ITicketSigner {
	constructor(
		private readonly currentKey: string,
		private readonly previousKey?: string,
	) {}

	sign(text: string): string {
		return computeCheck(this.currentKey, text).toString('base64url');
	}

	verify(text: string, check: string): boolean {
		const given = Buffer.from(check, 'base64url');
		if (given.toString('base64url') !== check) {
			return false;
		}
		const isCurrent = isSameCheck(computeCheck(this.currentKey, text), given);
		const isPrevious =
			this.previousKey !== undefined && isSameCheck(computeCheck(this.previousKey, text), given);
		return isCurrent || isPrevious;
	}
}
