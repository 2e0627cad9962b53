/**
 * Buffers complete request bodies before the requests are scheduled. While a body is being read, no target has
 * received any of it, so a request whose caller disconnects meanwhile is certainly `not-run`. A repeatable request
 * can also be sent again from the buffered body. The total number of buffered bytes is limited, because callers
 * that upload slowly would otherwise fill the memory of the entry.
 */

import type { IncomingMessage } from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';

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

/** Reads a body. Its bytes stay reserved in `heldBytes` until the caller of this function releases them. */
export async function readBody(
	request: IncomingMessage,
	maxBytes: number,
	heldBytes: HeldBytes,
): Promise<Result<Uint8Array, RequestError>> {
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	if (declaredBytes > maxBytes) {
		return err(createRequestError(ErrorKind.BodyTooLarge, `${declaredBytes} bytes, at most ${maxBytes}`));
	}
	const reader = new BodyReader(request, maxBytes, heldBytes);
	return reader.read();
}

class BodyReader {
	private readonly chunks: Buffer[] = [];
	private receivedBytes = 0;

	constructor(
		private readonly request: IncomingMessage,
		private readonly maxBytes: number,
		private readonly heldBytes: HeldBytes,
	) {}

	async read(): Promise<Result<Uint8Array, RequestError>> {
		return new Promise(resolve => {
			const finish = (result: Result<Uint8Array, RequestError>): void => {
				this.request.removeAllListeners('data');
				if (result.isErr()) {
					this.heldBytes.release(this.receivedBytes);
					this.receivedBytes = 0;
				}
				resolve(result);
			};
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
		if (this.receivedBytes + chunk.byteLength > this.maxBytes) {
			return createRequestError(ErrorKind.BodyTooLarge, `at most ${this.maxBytes} bytes`);
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
