/**
 * Writes answers and refusals to a caller's HTTP connection.
 *
 * An answer is framed by its length or, over HTTP/1.1, by chunks, also if its target sent it with neither. One that does not
 * have the bytes of its length is broken off. The kernel closes the connections of a process that is killed as after a
 * regular end, so that only a length that is not reached or a missing last chunk shows a caller that its answer is
 * incomplete. HTTP/1.0 has no chunks: the connection of an incomplete answer without a length is reset, but the answer looks
 * complete if the process is killed.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { RequestId } from '../../../core/ids/common/ids';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';
import type { HeaderLine } from '../../common/callers/callHead';
import type { ICallerDialect } from '../../common/dialect/callerDialect';

/** Whether connections are closed after their current answer. Called when the head of each answer is written. */
export type IsClosing = () => boolean;

/** How long the connection of a refused upload stays open, so that the caller can read the refusal. */
const refusedUploadLingerMs = 1_000;

/**
 * Delay before the connection of an incomplete answer without framing is reset. Callers whose event loop reads a reset
 * together with the last bytes take it for a regular close, which marks the end of a complete answer.
 */
const resetDelayMs = 100;

/** How long a cut waits for a caller that does not read. */
const maxUnsentMs = 10_000;

/** Writes one answer to one caller. */
export class CallerSink implements IAnswerSink {
	/** Whether the source of the answer is no longer notified when the caller disconnects. */
	private isEnded = false;
	/** Whether the whole answer has been written. */
	private isWhole = false;
	/** Whether a length or chunks show the caller where the answer ends. */
	private isFramed = true;
	/** The number of bytes that the caller expects, if a length told it. */
	private length: number | undefined;
	private writtenBytes = 0;

	constructor(
		private readonly requestId: RequestId,
		private readonly dialect: ICallerDialect,
		private readonly request: IncomingMessage,
		private readonly response: ServerResponse,
		private readonly isClosing: IsClosing,
	) {}

	begin(head: AnswerHead): void {
		this.length = findBodyLength(this.request.method, head);
		this.isFramed = this.isReadingChunks() || hasLength(head);
		if (!this.isFramed) {
			this.cutOnHalfClose();
		}
		this.writeHead(head.status, [...head.lines, ...this.dialect.createAnswerLines(this.requestId)]);
	}

	/**
	 * A caller reads bytes beyond the length of an answer as the start of the next one, so nothing of such a chunk is
	 * written. The source learns of it as of a caller that disconnects.
	 */
	write(chunk: Uint8Array): boolean {
		this.writtenBytes += chunk.byteLength;
		if (this.length !== undefined && this.writtenBytes > this.length) {
			this.response.destroy();
			return false;
		}
		return this.response.write(chunk);
	}

	waitForDrain(resume: () => void): void {
		this.response.once('drain', resume);
	}

	/** A caller reads the next answer on the connection as the rest of one that ends before its length. */
	end(): void {
		if (this.length !== undefined && this.writtenBytes !== this.length) {
			this.cut();
			return;
		}
		this.isEnded = true;
		this.isWhole = true;
		this.response.end();
	}

	isCutHidden(): boolean {
		return !this.isFramed;
	}

	cut(): void {
		this.isEnded = true;
		if (this.isFramed) {
			this.response.destroy();
			return;
		}
		this.cutOnceSent();
	}

	/**
	 * Resets the connection once all bytes are handed to the operating system: a reset before that reaches a caller that
	 * reads slowly together with bytes that it has not read.
	 */
	private cutOnceSent(): void {
		const { socket } = this.request;
		const scheduleReset = (delayMs: number): NodeJS.Timeout =>
			setTimeout(() => {
				socket.resetAndDestroy();
			}, delayMs);
		const hasBytes = this.writtenBytes > 0;
		let timer = scheduleReset(hasBytes ? maxUnsentMs : resetDelayMs);
		socket.once('close', () => {
			clearTimeout(timer);
		});
		// Before the first byte, a write would send the head, which alone looks like an empty answer.
		if (hasBytes) {
			this.response.write('', () => {
				clearTimeout(timer);
				timer = scheduleReset(resetDelayMs);
			});
		}
	}

	refuse(error: RequestError): void {
		this.isEnded = true;
		const refusal = this.dialect.createRefusal(this.requestId, error);
		const length = { name: 'content-length', value: String(Buffer.byteLength(refusal.text)) };
		this.writeHead(refusal.status, [...refusal.lines, length]);
		if (this.hasUnreadBody()) {
			this.response.write(refusal.text);
			this.closeUnreadUpload();
			return;
		}
		this.response.end(refusal.text);
	}

	watchAbandoned(notify: () => void): void {
		const { socket } = this.request;
		const handleClose = (): void => {
			if (!this.isEnded) {
				this.isEnded = true;
				notify();
			}
		};
		// The response emits its event only after the server has closed its side too, in a later turn of the event loop.
		socket.once('end', handleClose);
		this.response.once('close', () => {
			socket.removeListener('end', handleClose);
			handleClose();
		});
	}

	/**
	 * A caller that ends its side abandons its answer, and the server then ends the connection. Without framing, that
	 * looks like the end of a whole answer. This listener resets the connection before the listener of the server
	 * ends it, since a connection that is being ended cannot be reset.
	 */
	private cutOnHalfClose(): void {
		const { socket } = this.request;
		const cutUnlessWhole = (): void => {
			if (!this.isWhole && this.response.socket === socket) {
				socket.resetAndDestroy();
			}
		};
		socket.prependOnceListener('end', cutUnlessWhole);
		this.response.once('close', () => {
			socket.removeListener('end', cutUnlessWhole);
		});
	}

	private writeHead(status: number, lines: readonly HeaderLine[]): void {
		const isLast = this.isClosing() || !this.isFramed || this.hasUnreadBody();
		const closing = isLast ? [{ name: 'connection', value: 'close' }] : [];
		this.response.writeHead(
			status,
			[...lines, ...closing].flatMap(line => [line.name, line.value]),
		);
	}

	private isReadingChunks(): boolean {
		const { httpVersionMajor, httpVersionMinor } = this.request;
		return httpVersionMajor > 1 || httpVersionMinor > 0;
	}

	/**
	 * Node also reports a request without a body as incomplete until its handler returns. Treating such a request as
	 * an upload would close the connection after each refused GET, at the time when many requests are refused.
	 */
	private hasUnreadBody(): boolean {
		const { complete, headers } = this.request;
		const isBodyDeclared =
			headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
		return isBodyDeclared && !complete;
	}

	/**
	 * Closing a socket that is still receiving an upload resets the connection, and the reset can arrive before the
	 * refusal: the caller would see a broken connection and no outcome. Node closes the socket as soon as an answer
	 * with `Connection: close` ends. The complete refusal, with its content length, is therefore written but not
	 * ended until the caller has had time to read it. The rest of the upload is not read.
	 */
	private closeUnreadUpload(): void {
		this.request.pause();
		const timer = setTimeout(() => {
			this.response.end();
			this.request.destroy();
		}, refusedUploadLingerMs);
		this.request.once('close', () => {
			clearTimeout(timer);
		});
	}
}

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

function hasLength(head: AnswerHead): boolean {
	return findLength(head) !== undefined;
}

function findLength({ lines }: AnswerHead): string | undefined {
	return lines.find(({ name }) => name.toLowerCase() === 'content-length')?.value;
}

/** The number of bytes that the head of an answer promises, or undefined. */
function findBodyLength(method: string | undefined, head: AnswerHead): number | undefined {
	const length = Number(findLength(head));
	const hasBody = method !== 'HEAD' && !statusesWithoutBody.has(head.status);
	return hasBody && Number.isInteger(length) ? length : undefined;
}
