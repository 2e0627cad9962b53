/**
 * What is known of the current connection to a target: whether it was reset, and how many of its bytes were no payload.
 *
 * A faulty target may send bytes without end that never become part of an answer: informational heads, a status line, the
 * extension of a chunk, or the rest of an answer that is not used. The HTTP parser reads them for as long as they come and
 * reports none of them, so no timeout for silence ends that. The connection is closed once there are too many.
 */

import type { Socket } from 'node:net';

/** Bytes of heads, chunk headers and discarded answers that one answer may have, more than a paused parser holds. */
const maxOverheadBytes = 262_144;
/** Chunks of one byte have headers of five. */
const maxOverheadPerByte = 16;
/** Time in which the rest of an answer that is not used has to end. */
const maxDiscardMs = 1_000;

const noBytes = new Uint8Array();

export class ConnectionState {
	/** Whether the connection ended with an error or a reset. */
	wasReset = false;
	/** Whether the target ended the connection before the request was written. */
	endedDuringRequest = false;
	private socket: Socket | undefined;
	private bytesBefore = 0;
	private payloadBytes = 0;
	private discardingSinceMs: number | undefined;
	private resumeParser: (() => void) | undefined;

	constructor(private readonly getNow: () => number) {}

	/** Follows a new connection; undefined if it could not be opened. Called before the HTTP client listens to it. */
	open(socket: Socket | undefined): void {
		this.socket = socket;
		this.wasReset = false;
		this.endedDuringRequest = false;
		this.beginAnswer(this.resumeParser);
		socket?.on('error', (error: NodeJS.ErrnoException) => {
			this.wasReset = true;
			setResetCode(error);
		});
		socket?.on('end', () => {
			this.endedDuringRequest = socket.writableLength > 0;
			this.wasReset ||= isReset(socket);
			// undici throws from its listener if the connection ends while its parser is paused.
			this.resumeParser?.();
		});
		socket?.on('readable', () => {
			this.checkBytes(socket);
		});
	}

	/** Counts the bytes of the next answer. Its parser is resumed when the connection ends. */
	beginAnswer(resumeParser?: () => void): void {
		this.resumeParser = resumeParser;
		this.bytesBefore = this.socket?.bytesRead ?? 0;
		this.payloadBytes = 0;
		this.discardingSinceMs = undefined;
	}

	notePayload(bytes: number): void {
		this.payloadBytes += bytes;
	}

	/** The rest of the answer is not used. */
	startDiscarding(): void {
		this.discardingSinceMs = this.getNow();
	}

	private checkBytes(socket: Socket): void {
		const parsedBytes = socket.bytesRead - socket.readableLength;
		const overheadBytes = parsedBytes - this.bytesBefore - this.payloadBytes;
		const isTooMuch = overheadBytes > maxOverheadBytes + this.payloadBytes * maxOverheadPerByte;
		const isTooLong =
			this.discardingSinceMs !== undefined && this.getNow() - this.discardingSinceMs > maxDiscardMs;
		if (isTooMuch || isTooLong) {
			socket.destroy(new Error('the target sends bytes without end that are no answer'));
		}
	}
}

/**
 * Whether a connection that Node reports as ended was reset before its regular end. Node reports an end for a reset that
 * arrives together with data, and the socket has no peer then. A write without bytes fails: with `EPIPE` if the target had
 * ended its side before the reset, so that all its bytes have arrived. The connection has to allow half-open sockets,
 * since Node itself fails the write with that code otherwise.
 */
function isReset(socket: Socket): boolean {
	if (socket.remoteAddress !== undefined) {
		return false;
	}
	if (!socket.allowHalfOpen || socket.errored !== null) {
		return true;
	}
	socket.write(noBytes);
	return findErrorCode(socket) !== 'EPIPE';
}

function findErrorCode({ errored }: Socket): string | undefined {
	const error: NodeJS.ErrnoException | null = errored;
	return error?.code;
}

/** Replaces the code of a reset: undici takes an error with it for the end of an answer, and throws if its parser is paused then. */
function setResetCode(error: NodeJS.ErrnoException): void {
	if (error.code === 'ECONNRESET') {
		error.code = 'ERR_CONNECTION_RESET';
	}
}
