/**
 * The sink of an at-most-once run: passes the answer on to the caller that started the run and keeps a
 * copy for later sends of the same ticket. The run does not end when its caller goes away: a payment whose
 * connection broke is the very one that will be sent again, and the resend must find its answer.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { TicketRun } from '../../common/atMostOnce/ticketRun';
import { RunResultKind } from '../../common/atMostOnce/ticketRun';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';

/** Larger answers are delivered but not kept; a resend is then told `unknown`. */
const mostKeptBytes = 1_048_576;

/** Records one run's answer on its way to the caller. */
export class RecordingSink implements IAnswerSink {
	private readonly chunks: Uint8Array[] = [];
	private head: AnswerHead | undefined;
	private bytes = 0;
	private isCallerGone = false;
	private resume: (() => void) | undefined;

	constructor(
		private readonly caller: IAnswerSink,
		private readonly run: TicketRun,
	) {
		caller.watchAbandoned(() => {
			this.isCallerGone = true;
			this.resume?.();
		});
	}

	begin(head: AnswerHead): void {
		this.head = head;
		if (!this.isCallerGone) {
			this.caller.begin(head);
		}
	}

	write(chunk: Uint8Array): boolean {
		this.bytes += chunk.byteLength;
		if (this.bytes <= mostKeptBytes) {
			this.chunks.push(chunk);
		}
		return this.isCallerGone || this.caller.write(chunk);
	}

	waitForDrain(resume: () => void): void {
		const resumeOnce = (): void => {
			if (this.resume === resumeOnce) {
				this.resume = undefined;
				resume();
			}
		};
		this.resume = resumeOnce;
		this.caller.waitForDrain(resumeOnce);
	}

	end(): void {
		if (!this.isCallerGone) {
			this.caller.end();
		}
		this.run.end({ kind: RunResultKind.Answered, answer: this.createKept() });
	}

	cut(): void {
		if (!this.isCallerGone) {
			this.caller.cut();
		}
		const error = createRequestError(ErrorKind.TargetFailed, 'the answer broke off');
		this.run.end({ kind: RunResultKind.Failed, error });
	}

	refuse(error: RequestError): void {
		if (!this.isCallerGone) {
			this.caller.refuse(error);
		}
		this.run.end({ kind: RunResultKind.Failed, error });
	}

	/** The run is not its caller's to abandon. */
	watchAbandoned(): void {
		return;
	}

	private createKept(): { status: number; headers: [string, string][]; body: Uint8Array } | undefined {
		if (this.head === undefined || this.bytes > mostKeptBytes) {
			return undefined;
		}
		return {
			status: this.head.status,
			headers: this.head.lines.map(line => [line.name, line.value]),
			body: Buffer.concat(this.chunks),
		};
	}
}
