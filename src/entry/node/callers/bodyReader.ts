/**
 * Buffers complete request bodies before the requests are scheduled. While a body is being read, no target has
 * received any of it, so a request whose caller disconnects meanwhile is certainly `not-run`. A repeatable request
 * can also be sent again from the buffered body. The total number of buffered bytes is limited, because callers
 * that upload slowly would otherwise fill the memory of the entry.
 */

import type { IncomingMessage } from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';

/** Errors of a body of which the rest did not come. */
export const incompleteBodyKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.BodyIncomplete,
	ErrorKind.DeadlineUnreachable,
]);

/** Counts and limits the body bytes that are buffered for all requests of the entry. */
export class HeldBytes {
	private total = 0;

	/** @param limit maximum number of bytes buffered at one time */
	constructor(private readonly limit: number) {}

	getTotal(): number {
		return this.total;
	}

	/** Reserves bytes; returns false and reserves none if the limit would be exceeded. */
	reserve(bytes: number): boolean {
		if (this.total + bytes > this.limit) {
			return false;
		}
		this.total += bytes;
		return true;
	}

	release(bytes: number): void {
		this.total -= bytes;
	}
}

/** The limits of one body. */
export interface BodyLimits {
	readonly maxBytes: number;
	/** The deadline of the request, in monotonic milliseconds. */
	readonly deadlineMs: number;
}

/** Reads a body. Its bytes stay reserved in `heldBytes` until the caller of this function releases them. */
export async function readBody(
	request: IncomingMessage,
	limits: BodyLimits,
	heldBytes: HeldBytes,
	timers: ITimerService,
): Promise<Result<Uint8Array, RequestError>> {
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	if (declaredBytes > limits.maxBytes) {
		const detail = `${declaredBytes} bytes, at most ${limits.maxBytes}`;
		return err(createRequestError(ErrorKind.BodyTooLarge, detail));
	}
	const reader = new BodyReader(request, limits, heldBytes, timers);
	return reader.read();
}

class BodyReader {
	private readonly chunks: Buffer[] = [];
	private receivedBytes = 0;

	constructor(
		private readonly request: IncomingMessage,
		private readonly limits: BodyLimits,
		private readonly heldBytes: HeldBytes,
		private readonly timers: ITimerService,
	) {}

	async read(): Promise<Result<Uint8Array, RequestError>> {
		return new Promise(resolve => {
			const finish = (result: Result<Uint8Array, RequestError>): void => {
				deadline.dispose();
				this.request.removeAllListeners('data');
				if (result.isErr()) {
					this.heldBytes.release(this.receivedBytes);
					this.receivedBytes = 0;
				}
				resolve(result);
			};
			const leftMs = this.limits.deadlineMs - this.timers.getNow();
			const deadline = this.timers.schedule(leftMs, () => {
				const detail = `${this.receivedBytes} bytes received by the deadline`;
				finish(err(createRequestError(ErrorKind.DeadlineUnreachable, detail)));
			});
			this.request.on('data', (chunk: Buffer) => {
				const error = this.addChunk(chunk);
				if (error !== undefined) {
					finish(err(error));
				}
			});
			this.request.once('end', () => {
				finish(
					ok(this.chunks.length === 1 ? (this.chunks[0] ?? Buffer.alloc(0)) : Buffer.concat(this.chunks)),
				);
			});
			this.request.once('close', () => {
				if (!this.request.complete) {
					finish(err(createRequestError(ErrorKind.BodyIncomplete, `${this.receivedBytes} bytes received`)));
				}
			});
		});
	}

	private addChunk(chunk: Buffer): RequestError | undefined {
		if (this.receivedBytes + chunk.byteLength > this.limits.maxBytes) {
			return createRequestError(ErrorKind.BodyTooLarge, `at most ${this.limits.maxBytes} bytes`);
		}
		if (!this.heldBytes.reserve(chunk.byteLength)) {
			return createRequestError(
				ErrorKind.EntryFull,
				'the memory limit for buffered request bodies is reached',
			);
		}
		this.receivedBytes += chunk.byteLength;
		this.chunks.push(chunk);
		return undefined;
	}
}
