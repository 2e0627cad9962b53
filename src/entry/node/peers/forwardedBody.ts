/**
 * Reads the body of a request that another entry forwards. Its bytes stay reserved only if it is complete. However else the reading
 * ends, they are released: at a limit, at the deadline of the request, or when the sender cancels the request or is lost.
 *
 * The messages of a request that is cancelled between two of them end like those of one that is complete, so that a part of a
 * body would be run as the whole. The sender therefore states the length of the body.
 *
 * The receiving end of a session sends no pings, so the deadline alone ends the reading from a sender that was cut off.
 */

import { setImmediate } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { DisposableStore, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { ForwardRequestRequest } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { BodyLimits, HeldBytes } from '../callers/bodyReader';

/** The messages of a forwarded request. */
export type ForwardedParts = AsyncIterator<ForwardRequestRequest>;

/** The limits of one body. */
export interface ForwardedBodyLimits extends BodyLimits {
	/** The length of the body; undefined from entries of earlier releases. */
	readonly statedBytes: number | undefined;
}

/** What ends the wait for a message. */
enum ReadEnd {
	Deadline = 'deadline',
	Cancelled = 'cancelled',
}

/** Reads one body. */
export class ForwardedBodyReader {
	private readonly chunks: Uint8Array[] = [];
	private receivedBytes = 0;

	constructor(
		private readonly parts: ForwardedParts,
		/** Aborted when the sender cancels the request or its connection is lost, after which no further message may come. */
		private readonly signal: AbortSignal,
		private readonly limits: ForwardedBodyLimits,
		private readonly heldBytes: HeldBytes,
		private readonly timers: ITimerService,
	) {}

	/** Reads the body. Its bytes stay reserved until the caller of this method releases them. */
	async read(): Promise<Result<Uint8Array, RequestError>> {
		const error = await this.readChunks();
		if (error === undefined) {
			return ok(Buffer.concat(this.chunks));
		}
		this.heldBytes.release(this.receivedBytes);
		return err(error);
	}

	private async readChunks(): Promise<RequestError | undefined> {
		const watch = new DisposableStore();
		const readEnd = this.watchReadEnd(watch);
		try {
			for (;;) {
				const next = await Promise.race([this.parts.next(), readEnd]);
				if (next === ReadEnd.Deadline) {
					return createRequestError(ErrorKind.DeadlineUnreachable, this.describeReceived());
				}
				if (next === ReadEnd.Cancelled) {
					return createRequestError(ErrorKind.BodyIncomplete, this.describeReceived());
				}
				if (next.done === true) {
					return await this.checkComplete();
				}
				const error = this.addPart(next.value);
				if (error !== undefined) {
					return error;
				}
			}
		} catch (error) {
			const reason = error instanceof Error ? error.message : String(error);
			return createRequestError(ErrorKind.BodyIncomplete, `${this.describeReceived()}: ${reason}`);
		} finally {
			watch.dispose();
		}
	}

	private async watchReadEnd(watch: DisposableStore): Promise<ReadEnd> {
		return new Promise(resolve => {
			const leftMs = this.limits.deadlineMs - this.timers.getNow();
			const cancel = (): void => {
				resolve(ReadEnd.Cancelled);
			};
			watch.add(
				this.timers.schedule(leftMs, () => {
					resolve(ReadEnd.Deadline);
				}),
			);
			this.signal.addEventListener('abort', cancel);
			watch.add(
				toDisposable(() => {
					this.signal.removeEventListener('abort', cancel);
				}),
			);
			if (this.signal.aborted) {
				cancel();
			}
		});
	}

	/** Without a stated length, only the abort that follows within the turn shows that the request was cancelled. */
	private async checkComplete(): Promise<RequestError | undefined> {
		const { statedBytes } = this.limits;
		if (statedBytes === undefined) {
			await setImmediate();
		}
		const isComplete = statedBytes === undefined ? !this.signal.aborted : statedBytes === this.receivedBytes;
		return isComplete ? undefined : createRequestError(ErrorKind.BodyIncomplete, this.describeReceived());
	}

	private describeReceived(): string {
		const { statedBytes } = this.limits;
		return `${this.receivedBytes} bytes received${statedBytes === undefined ? '' : ` of ${statedBytes}`}`;
	}

	private addPart({ part }: ForwardRequestRequest): RequestError | undefined {
		if (part.case !== 'body') {
			return undefined;
		}
		const { byteLength } = part.value;
		const isTooLarge = this.receivedBytes + byteLength > this.limits.maxBytes;
		if (isTooLarge || !this.heldBytes.reserve(byteLength)) {
			const kind = isTooLarge ? ErrorKind.BodyTooLarge : ErrorKind.EntryFull;
			return createRequestError(kind, `limit reached after ${this.receivedBytes} bytes`);
		}
		this.receivedBytes += byteLength;
		this.chunks.push(part.value);
		return undefined;
	}
}

/**
 * Reads and drops what is left of a refused request, until its sender has cancelled it. Unread, it would fill the window of its stream,
 * which stays open as long as the session.
 */
export async function drainParts(parts: ForwardedParts): Promise<void> {
	try {
		while ((await parts.next()).done !== true) {
			continue;
		}
	} catch {
		// The request was cancelled in the middle of a message, so nothing is left of it.
	}
}
