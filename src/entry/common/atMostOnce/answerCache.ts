/**
 * Answers to ticketed calls, cached up to a total size so that a resend gets the same answer. Without a
 * limit, an hour of large answers would exhaust the entry's memory and end all its requests. At the limit,
 * the oldest answers are evicted, and the outcome of a resend of such a call is `unknown`.
 */

import type { CachedAnswer } from './ticketRun';

/** Estimated memory of an answer's status and headers, in bytes. */
const headBytes = 512;

/** Caches answers by ticket number and evicts the oldest first. */
export class AnswerCache {
	private readonly answers = new Map<number, CachedAnswer>();
	private bytes = 0;

	constructor(private readonly maxBytes: number) {}

	/** Adds an answer. An answer that is larger than the whole cache is not stored. */
	put(number: number, answer: CachedAnswer): void {
		this.remove(number);
		const size = measureAnswer(answer);
		if (size > this.maxBytes) {
			return;
		}
		this.answers.set(number, answer);
		this.bytes += size;
		this.removeOldest();
	}

	find(number: number): CachedAnswer | undefined {
		return this.answers.get(number);
	}

	remove(number: number): void {
		const answer = this.answers.get(number);
		if (answer === undefined) {
			return;
		}
		this.answers.delete(number);
		this.bytes -= measureAnswer(answer);
	}

	countBytes(): number {
		return this.bytes;
	}

	private removeOldest(): void {
		for (const number of this.answers.keys()) {
			if (this.bytes <= this.maxBytes) {
				return;
			}
			this.remove(number);
		}
	}
}

function measureAnswer(answer: CachedAnswer): number {
	return headBytes + answer.body.byteLength;
}
