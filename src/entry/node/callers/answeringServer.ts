/**
 * An HTTP server that keeps connections until their answers have been sent.
 *
 * Node takes a connection for idle once its answer has been written, also while bytes of it wait for a slow caller, and
 * closes it when the server stops. The caller then misses the rest, and one that reads no chunks takes the close for the
 * end of its answer.
 */

import type { IncomingMessage, ServerOptions, ServerResponse } from 'node:http';
import { Server } from 'node:http';
import type { Socket } from 'node:net';

type ServeRequest = (request: IncomingMessage, response: ServerResponse) => void;

export class AnsweringServer extends Server {
	/** Answers that have not been sent completely. */
	private readonly unsentAnswers = new Set<ServerResponse>();
	private isClosingIdle = false;

	constructor(options: ServerOptions, serve: ServeRequest) {
		super(options);
		const serveAnswered = (request: IncomingMessage, response: ServerResponse): void => {
			this.addAnswer(response);
			serve(request, response);
		};
		this.on('request', serveAnswered);
		this.on('checkContinue', serveAnswered);
	}

	/** Whether a request of this connection has been read and has no whole answer yet, or an answer that has begun. */
	isAnswering(socket: Socket): boolean {
		return [...this.unsentAnswers].some(
			({ req, headersSent, writableEnded }) =>
				req.socket === socket && !writableEnded && (req.complete || headersSent),
		);
	}

	/** Also called by Node when the server is closed. Connections whose answers are still being sent are closed after that. */
	override closeIdleConnections(): void {
		this.isClosingIdle = true;
		const written = [...this.unsentAnswers].filter(({ writableEnded }) => writableEnded);
		setFinished(written, false);
		super.closeIdleConnections();
		setFinished(written, true);
	}

	/**
	 * Resets the connections of answers that have begun and are not sent completely. A regular close would look like the
	 * end of an answer without framing.
	 */
	cutUnsentAnswers(): void {
		for (const { headersSent, socket } of this.unsentAnswers) {
			if (headersSent) {
				socket?.resetAndDestroy();
			}
		}
	}

	private addAnswer(response: ServerResponse): void {
		this.unsentAnswers.add(response);
		response.once('close', () => {
			this.unsentAnswers.delete(response);
			if (this.isClosingIdle) {
				this.closeIdleConnections();
			}
		});
	}
}

/** Sets the flag by which Node decides whether the connection of an answer is idle. */
function setFinished(answers: readonly ServerResponse[], isFinished: boolean): void {
	for (const answer of answers) {
		Object.assign(answer, { finished: isFinished });
	}
}
