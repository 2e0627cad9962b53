/**
 * An answer of a simulated target, subject to its fault switches: it can stop before or after the head, be reset in
 * the middle of the body, or carry the attempt ID of a different request.
 */

import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { headers } from '../../core/headers/common/headers';
import type { TargetFaults } from '../common/targetFaults';

const foreignAttempt = 'another-request.1';

/** Writes the answer to one request. */
export class TargetAnswer {
	private isSilent = false;
	private bytesUntilReset: number | undefined;

	constructor(
		private readonly response: ServerResponse,
		private readonly attempt: string | undefined,
		/** Returns the currently reported load in the format of the load header. */
		private readonly getLoadText: () => string,
		/** Called once, when the head is sent. Later changes of the switches apply to later answers only. */
		private readonly getFaults: () => TargetFaults,
	) {}

	/** Sends the status line and the headers. */
	sendHead(status: number, extraHeaders: OutgoingHttpHeaders): void {
		const faults = this.getFaults();
		if (faults.silentBeforeHead) {
			this.isSilent = true;
			return;
		}
		this.response.writeHead(status, { ...extraHeaders, ...this.createHeaders(faults) });
		this.response.flushHeaders();
		this.isSilent = faults.silentAfterHead;
		this.bytesUntilReset = faults.resetAfterBytes ?? undefined;
		if (this.bytesUntilReset === 0) {
			this.closeWithReset();
		}
	}

	/** Sends a chunk of the body. If the result is false, wait for the `drain` event of the response. */
	write(chunk: Uint8Array): boolean {
		if (this.isSilent || this.response.destroyed) {
			return true;
		}
		if (this.bytesUntilReset === undefined) {
			return this.response.write(chunk);
		}
		const part = chunk.subarray(0, this.bytesUntilReset);
		this.bytesUntilReset -= part.length;
		if (this.bytesUntilReset > 0) {
			return this.response.write(part);
		}
		this.response.write(part, () => {
			this.closeWithReset();
		});
		this.isSilent = true;
		return true;
	}

	/** Ends the answer, unless a fault switch suppresses its end. */
	end(): void {
		if (!this.isSilent) {
			this.response.end();
		}
	}

	/** Sends an answer with a complete body of known length. */
	sendCompleteBody(status: number, body: Buffer, extraHeaders: OutgoingHttpHeaders): void {
		this.sendHead(status, { 'content-length': body.length, ...extraHeaders });
		this.write(body);
		this.end();
	}

	sendJson(status: number, value: unknown): void {
		this.sendCompleteBody(status, Buffer.from(JSON.stringify(value)), { 'content-type': 'application/json' });
	}

	private createHeaders(faults: TargetFaults): OutgoingHttpHeaders {
		const attempt = faults.foreignAttempt ? foreignAttempt : this.attempt;
		return {
			[headers.targetLoad]: this.getLoadText(),
			...(attempt === undefined ? {} : { [headers.attempt]: attempt }),
			...(faults.leaving ? { [headers.targetLeaving]: '1' } : {}),
		};
	}

	/** Resets the connection in the next turn of the event loop, so that earlier writes reach the network first. */
	private closeWithReset(): void {
		this.isSilent = true;
		setImmediate(() => {
			this.response.socket?.resetAndDestroy();
		});
	}
}
