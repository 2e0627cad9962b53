/**
 * Test fixture: a sink that records what a caller gets, and each call that is out of order.
 */

import { setImmediate } from 'node:timers/promises';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { AnswerHead, IAnswerSink } from '../../../common/callers/answerSink';
import { findHeader } from '../../../common/callers/callHead';
import type { ReceivedAnswer } from './answerOracle';

/** The header that names the run that sent a head. */
export const runHeader = 'x-run';

export class JudgedSink implements IAnswerSink {
	private readonly misuses: string[] = [];
	private head: AnswerHead | undefined;
	private readonly chunks: Uint8Array[] = [];
	private answerEnd: AnswerEnd | undefined;
	private isRefused = false;

	/** @param writesPerPause The caller reads so slowly that one in this many writes has to wait; 0 for none. */
	constructor(private readonly writesPerPause: number) {}

	isOver(): boolean {
		return this.isRefused || this.answerEnd !== undefined;
	}

	begin(head: AnswerHead): void {
		this.check('a head', this.head === undefined);
		this.head = head;
	}

	write(chunk: Uint8Array): boolean {
		this.check('bytes', this.head !== undefined);
		this.chunks.push(Buffer.from(chunk));
		return this.writesPerPause === 0 || this.chunks.length % this.writesPerPause !== 0;
	}

	waitForDrain(resume: () => void): void {
		void setImmediate().then(resume);
	}

	end(end: AnswerEnd): void {
		this.check('an end', this.head !== undefined);
		this.answerEnd = end;
	}

	cut(): void {
		this.check('a cut', this.head !== undefined);
		this.answerEnd = AnswerEnd.Cut;
	}

	refuse(): void {
		this.check('a refusal', this.head === undefined);
		this.isRefused = true;
	}

	watchAbandoned(): void {
		return;
	}

	describe(): ReceivedAnswer {
		const { head, chunks, answerEnd: end, isRefused, misuses } = this;
		const begunBy = head === undefined ? undefined : Number(findHeader(head.lines, runHeader));
		return { head, begunBy, bytes: Buffer.concat(chunks), end, isRefused, misuses };
	}

	private check(call: string, isInOrder: boolean): void {
		if (!isInOrder || this.isOver()) {
			this.misuses.push(`${call} out of order`);
		}
	}
}
