/**
 * The bytes of kept answers, bounded. Without a bound an hour of large answers to ticketed calls would
 * end the entry with all its requests; with one, the oldest answers go first and a resend of such a call
 * is told `unknown`.
 */

import type { KeptAnswer } from './ticketRun';

/** Estimate of what an answer's head costs besides its body, in bytes. */
const headBytes = 512;

/** Answers by ticket number, the oldest dropped first. */
export class KeptAnswers {
	private readonly answers = new Map<number, KeptAnswer>();
	private bytes = 0;

	constructor(private readonly mostBytes: number) {}

	put(number: number, answer: KeptAnswer): void {
		this.remove(number);
		const size = measureAnswer(answer);
		if (size > this.mostBytes) {
			return;
		}
		this.answers.set(number, answer);
		this.bytes += size;
		this.removeOldest();
	}

	find(number: number): KeptAnswer | undefined {
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
			if (this.bytes <= this.mostBytes) {
				return;
			}
			this.remove(number);
		}
	}
}

function measureAnswer(answer: KeptAnswer): number {
	return headBytes + answer.body.byteLength;
}
