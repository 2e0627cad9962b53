/**
 * The answer sink of an at-most-once request: forwards the answer to the caller and keeps a copy for later
 * requests with the same ticket. The request continues when its caller disconnects, because a caller whose
 * connection broke during a payment will resend it, and the resend must receive the stored answer.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { CachedAnswer, TicketRun } from '../../common/atMostOnce/ticketRun';
import { RunResultKind } from '../../common/atMostOnce/ticketRun';
import type { AnswerEnd } from '../../common/callers/answerEnd';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';

/** Larger answers are delivered but not kept; a resend then receives the outcome `unknown`. */
const maxKeptBytes = 1_048_576;

/** Records the answer of one request while forwarding it to the caller. */
export class RecordingSink implements IAnswerSink {
	private readonly chunks: Uint8Array[] = [];
	private head: AnswerHead | undefined;
	private receivedBytes = 0;
	private isCallerGone = false;
	private resume: (() => void) | undefined;

	constructor(
		private readonly callerSink: IAnswerSink,
		private readonly ticketRun: TicketRun,
	) {
		callerSink.watchAbandoned(() => {
			this.isCallerGone = true;
			this.resume?.();
		});
	}

	begin(head: AnswerHead): void {
		this.head = head;
		if (!this.isCallerGone) {
			this.callerSink.begin(head);
		}
	}

	write(chunk: Uint8Array): boolean {
		this.receivedBytes += chunk.byteLength;
		if (this.receivedBytes <= maxKeptBytes) {
			this.chunks.push(chunk);
		}
		return this.isCallerGone || this.callerSink.write(chunk);
	}

	waitForDrain(resume: () => void): void {
		const resumeOnce = (): void => {
			if (this.resume === resumeOnce) {
				this.resume = undefined;
				resume();
			}
		};
		this.resume = resumeOnce;
		this.callerSink.waitForDrain(resumeOnce);
	}

	end(end: AnswerEnd.Certain | AnswerEnd.Uncertain): void {
		if (!this.isCallerGone) {
			this.callerSink.end(end);
		}
		this.ticketRun.end({ kind: RunResultKind.Answered, answer: this.createKeptAnswer() });
	}

	isCutHidden(): boolean {
		return this.callerSink.isCutHidden?.() === true;
	}

	cut(): void {
		if (!this.isCallerGone) {
			this.callerSink.cut();
		}
		const error = createRequestError(ErrorKind.TargetFailed, 'the answer ended before it was complete');
		this.ticketRun.end({ kind: RunResultKind.Failed, error });
	}

	refuse(error: RequestError): void {
		if (!this.isCallerGone) {
			this.callerSink.refuse(error);
		}
		this.ticketRun.end({ kind: RunResultKind.Failed, error });
	}

	/** Does nothing: the request continues after its caller disconnects. */
	watchAbandoned(): void {
		return;
	}

	private createKeptAnswer(): CachedAnswer | undefined {
		if (this.head === undefined || this.receivedBytes > maxKeptBytes) {
			return undefined;
		}
		return {
			status: this.head.status,
			headers: this.head.lines.map(line => [line.name, line.value]),
			body: Buffer.concat(this.chunks),
			endsWithConnection: this.head.endsWithConnection === true,
		};
	}
}
