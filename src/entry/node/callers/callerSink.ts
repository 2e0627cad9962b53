/**
 * The sink of a caller's HTTP connection.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { RequestId } from '../../../core/ids/common/ids';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';
import type { HeaderLine } from '../../common/callers/callHead';
import type { ICallerDialect } from '../../common/dialect/callerDialect';

/** Whether connections should be given up after the answers in progress; asked at each answer's head. */
export type IsClosing = () => boolean;

/** How long a refused upload's connection stays open so that the caller can read the refusal. */
const lingerMs = 1_000;

/** Writes one answer to one caller. */
export class CallerSink implements IAnswerSink {
	private isEnded = false;
	private endsWithConnection = false;

	constructor(
		private readonly requestId: RequestId,
		private readonly dialect: ICallerDialect,
		private readonly request: IncomingMessage,
		private readonly response: ServerResponse,
		private readonly isClosing: IsClosing,
	) {}

	begin(head: AnswerHead): void {
		if (head.endsWithConnection === true) {
			this.endsWithConnection = true;
			this.response.useChunkedEncodingByDefault = false;
		}
		this.writeHead(head.status, [...head.lines, ...this.dialect.createAnswerLines(this.requestId)]);
	}

	write(chunk: Uint8Array): boolean {
		return this.response.write(chunk);
	}

	waitForDrain(resume: () => void): void {
		this.response.once('drain', resume);
	}

	end(): void {
		this.isEnded = true;
		this.response.end();
	}

	cut(): void {
		this.isEnded = true;
		this.response.destroy();
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
		this.response.once('close', () => {
			if (!this.isEnded) {
				this.isEnded = true;
				notify();
			}
		});
	}

	private writeHead(status: number, lines: readonly HeaderLine[]): void {
		const isLast = this.isClosing() || this.endsWithConnection || this.hasUnreadBody();
		const closing = isLast ? [{ name: 'connection', value: 'close' }] : [];
		this.response.writeHead(
			status,
			[...lines, ...closing].flatMap(line => [line.name, line.value]),
		);
	}

	/**
	 * A request without a body is incomplete too until its handler returns. Taken for an upload, each refused
	 * GET would cost its caller the connection, just when many are refused.
	 */
	private hasUnreadBody(): boolean {
		const { complete, headers } = this.request;
		const isAnnounced =
			headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
		return isAnnounced && !complete;
	}

	/**
	 * Closing a socket that still receives an upload resets it, and the reset can overtake the refusal: the
	 * caller would see a broken connection and no outcome. Node closes the socket as soon as an answer with
	 * `Connection: close` has ended; so the refusal, whole by its length, is written but not ended until the
	 * caller has had time to read it. The upload stays unread meanwhile.
	 */
	private closeUnreadUpload(): void {
		this.request.pause();
		const timer = setTimeout(() => {
			this.response.end();
			this.request.destroy();
		}, lingerMs);
		this.request.once('close', () => {
			clearTimeout(timer);
		});
	}
}
