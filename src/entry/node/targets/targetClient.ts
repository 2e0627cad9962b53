/**
 * Sends one attempt to one target and reports its progress and result. The moment from which the target may
 * have run the request must be exact: `noteHandedOver` is called before the first byte of the head is written
 * to a socket, and an error without this call means that no byte was sent.
 *
 * An answer without a length ends when its connection closes. undici treats a connection reset as that end and
 * would deliver a truncated answer as complete, so each connection records whether it was reset. A target that ends its side
 * before it has the whole request resets the connection next, so only an answer that rejects the request is complete then.
 *
 * A faulty target may send a second answer on a connection once the next request arrives there. Its request id does not
 * show that it belongs to an earlier attempt of the same request, so such a request is sent on another connection.
 *
 * Pipelining is off. Otherwise undici would resend the requests queued behind a failed answer on a new
 * connection, without notice, and an at-most-once call could run twice.
 */

import type { Socket } from 'node:net';
import { buildConnector, Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestId } from '../../../core/ids/common/ids';
import type { AnswerHead } from '../../common/callers/answerSink';
import type { HeaderLine } from '../../common/callers/callHead';
import { ProcessContinuity } from '../../common/streams/processContinuity';
import { ConnectionState } from './connectionState';

/** The HTTP request of an attempt. */
export interface AttemptRequest {
	/** The request that this is an attempt of, if it may be sent again. */
	readonly requestId?: RequestId;
	readonly method: string;
	readonly path: string;
	readonly lines: readonly HeaderLine[];
	readonly body: Uint8Array;
}

/** Receives the events of an attempt, in this order. `noteCompleted` or `noteFailed` is the last one. */
export interface IAttemptObserver {
	noteHandedOver(): void;
	receiveHead(head: AnswerHead): void;
	/** Returns false to pause reading from the target until `resume` is called. */
	receiveData(chunk: Uint8Array): boolean;
	noteCompleted(): void;
	noteFailed(error: Error): void;
}

/** Controls an attempt that was sent. */
export interface IAttempt {
	resume(): void;
	/** Closes the attempt's connection, so that no later request can read the rest of its answer. */
	cancel(reason: string): void;
	/** Reads and discards the rest of a short answer, so that its connection can be reused. */
	release(): void;
}

const connectTimeoutMs = 2_000;
const keepAliveMs = 20_000;
/** undici's timeouts are disabled: each attempt applies the timeouts of its request class itself. */
const timeoutDisabled = 0;
const connectionOptions: Client.Options = {
	pipelining: 1,
	keepAliveTimeout: keepAliveMs,
	headersTimeout: timeoutDisabled,
	bodyTimeout: timeoutDisabled,
};
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);
const minRedirectStatus = 300;
/** undici itself fails answers with statuses below 100. */
const maxStatus = 599;

/** Sends attempts to one target. */
export interface ITargetClient {
	/** Starts an attempt. The observer is called from the next turn of the event loop at the earliest. */
	send(request: AttemptRequest, observer: IAttemptObserver): IAttempt;
	/** Replaces all open connections. Attempts that are running on one of them finish there. */
	renewConnections(): void;
}

/** A client whose connections are closed when its target is no longer in use. */
export interface IOwnedTargetClient extends ITargetClient {
	/** Follows the connections, to tell whether they lead to the same process of the target. */
	readonly continuity: ProcessContinuity;
	/** Lets running attempts finish, and fails those that wait for a connection. */
	close(): Promise<void>;
}

/** A connection pool for one target. */
export class TargetClient implements IOwnedTargetClient {
	private pool: Pool;
	/** Attempts that no connection has taken yet. */
	private readonly waiting = new Set<Attempt>();
	/** The requests that the connections of the pool were used for last. */
	private readonly latestRequests = new Set<RequestId>();
	readonly continuity = new ProcessContinuity();

	constructor(
		private readonly origin: string,
		private readonly timers: Pick<ITimerService, 'getNow'>,
	) {
		this.pool = this.createPool();
	}

	send(request: AttemptRequest, observer: IAttemptObserver): IAttempt {
		const { requestId } = request;
		const attempt: Attempt = new Attempt(request.method, requestId, observer, () => {
			this.waiting.delete(attempt);
		});
		this.waiting.add(attempt);
		const options: AttemptDispatchOptions = {
			attempt,
			method: request.method,
			path: request.path,
			headers: flattenHeaders(request.lines),
			body:
				request.body.byteLength === 0
					? null
					: Buffer.from(request.body.buffer, request.body.byteOffset, request.body.byteLength),
			idempotent: false,
		};
		if (requestId !== undefined && this.latestRequests.has(requestId)) {
			this.dispatchAlone(options, attempt);
		} else {
			this.pool.dispatch(options, attempt);
		}
		return attempt;
	}

	/** The number of requests whose connection is remembered. */
	countLatestRequests(): number {
		return this.latestRequests.size;
	}

	/** Sends an attempt on a connection of its own, which is closed after it. */
	private dispatchAlone(options: AttemptDispatchOptions, attempt: Attempt): void {
		const client = this.createClient(this.origin, connectionOptions, new Set());
		client.dispatch(options, attempt);
		client.close().catch(() => undefined);
	}

	/**
	 * Replaces all open connections. A middlebox can lose the state of open connections, which then stay
	 * unresponsive forever while new ones work. One unresponsive connection therefore makes all connections of
	 * the pool suspect, but not the target itself.
	 */
	renewConnections(): void {
		const old = this.pool;
		this.pool = this.createPool();
		old.close().catch(() => undefined);
	}

	/**
	 * Lets running attempts finish and fails those that wait for a connection. These were meant for the process that the
	 * connections belong to: if they were sent once its address accepts connections again, all of them would reach
	 * the process that has just started there.
	 */
	async close(): Promise<void> {
		for (const attempt of [...this.waiting]) {
			attempt.abandon('the target is no longer in use or has started again');
		}
		await this.pool.close();
	}

	private createPool(): Pool {
		return new Pool(this.origin, {
			...connectionOptions,
			connections: null,
			factory: (origin, options: Client.Options) => this.createClient(origin, options, this.latestRequests),
		});
	}

	private createClient(
		origin: string | URL,
		options: Client.Options,
		latestRequests: Set<RequestId>,
	): ResetTrackingClient {
		return new ResetTrackingClient(
			origin,
			options,
			socket => {
				this.noteConnection(socket);
			},
			() => this.timers.getNow(),
			latestRequests,
		);
	}

	private noteConnection(socket: Socket | undefined): void {
		if (socket === undefined) {
			this.continuity.noteRefused();
			return;
		}
		let endedByTargetMs: number | undefined;
		socket.once('end', () => {
			endedByTargetMs ??= this.timers.getNow();
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			// undici also destroys a socket with an error if this client closes it.
			if (error.syscall !== undefined) {
				endedByTargetMs ??= this.timers.getNow();
			}
		});
		socket.once('close', () => {
			this.continuity.noteClosed(endedByTargetMs !== undefined, this.timers.getNow(), endedByTargetMs);
		});
		this.continuity.noteOpened(this.timers.getNow());
	}
}

function flattenHeaders(lines: readonly HeaderLine[]): string[] {
	return lines.flatMap(line => [line.name, line.value]);
}

/** Carries the attempt to the client of the connection: the pool wraps the handler but passes options unchanged. */
interface AttemptDispatchOptions extends Dispatcher.DispatchOptions {
	readonly attempt?: Attempt;
}

/** Receives each new connection, or undefined if it could not be opened. */
type NoteConnection = (socket: Socket | undefined) => void;

/** Runs one attempt at a time, and gives each attempt access to the state of its connection. */
class ResetTrackingClient extends Client {
	private readonly state: ConnectionState;
	private latestRequest: RequestId | undefined;

	constructor(
		origin: string | URL,
		options: Client.Options,
		noteConnection: NoteConnection,
		getNow: () => number,
		/** Holds the request that was sent last on each open connection. */
		private readonly latestRequests: Set<RequestId>,
	) {
		const state = new ConnectionState(getNow);
		super(origin, { ...options, connect: createResetTrackingConnector(state, noteConnection) });
		this.state = state;
		const forgetRequest = (): void => {
			this.setLatestRequest(undefined);
		};
		this.on('disconnect', forgetRequest);
		this.on('connectionError', forgetRequest);
	}

	override dispatch(options: AttemptDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		const { attempt } = options;
		this.state.beginAnswer(() => attempt?.resumeParser());
		attempt?.setConnection(this.state);
		this.setLatestRequest(attempt?.requestId);
		return super.dispatch(options, handler);
	}

	private setLatestRequest(request: RequestId | undefined): void {
		if (this.latestRequest !== undefined) {
			this.latestRequests.delete(this.latestRequest);
		}
		this.latestRequest = request;
		if (request !== undefined) {
			this.latestRequests.add(request);
		}
	}
}

/** Registers its error listener before undici does, so that a reset is recorded before undici sees an end. */
function createResetTrackingConnector(
	state: ConnectionState,
	noteConnection: NoteConnection,
): buildConnector.connector {
	const connect = buildConnector({ timeout: connectTimeoutMs, allowHalfOpen: true });
	return (options, callback) => {
		connect(options, (...result) => {
			const socket: Socket | null = result[1];
			state.open(socket ?? undefined);
			noteConnection(socket ?? undefined);
			callback(...result);
		});
	};
}

/** Translates the events of undici into those of the attempt's observer. */
class Attempt implements IAttempt, Dispatcher.DispatchHandler {
	private connection: ConnectionState | undefined;
	private controller: Dispatcher.DispatchController | undefined;
	private isOver = false;
	private isPaused = false;
	/** Whether an end of the connection before the whole request was written is not that of the answer. */
	private needsWholeRequest = false;
	/** The whole answer was read, and the observer hasn't resumed yet. */
	private isEndHeld = false;
	private cancelReason: string | undefined;

	constructor(
		private readonly method: string,
		readonly requestId: RequestId | undefined,
		private readonly observer: IAttemptObserver,
		/** Called once the attempt no longer waits for a connection. */
		private readonly onDidLeaveQueue: () => void,
	) {}

	/** Fails the attempt. One that waits for a connection is not sent. */
	abandon(reason: string): void {
		this.cancel(reason);
		this.observer.noteFailed(new Error(reason));
	}

	resume(): void {
		this.isPaused = false;
		this.controller?.resume();
		if (this.isEndHeld && !this.isOver) {
			this.isOver = true;
			this.observer.noteCompleted();
		}
	}

	/** Called when the connection ends. All its bytes were delivered before, so the observer receives none while paused. */
	resumeParser(): void {
		this.controller?.resume();
	}

	release(): void {
		this.isOver = true;
		this.connection?.startDiscarding();
		this.controller?.resume();
	}

	cancel(reason: string): void {
		if (this.isOver) {
			return;
		}
		this.isOver = true;
		this.cancelReason = reason;
		this.onDidLeaveQueue();
		this.controller?.abort(new Error(reason));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		this.onDidLeaveQueue();
		if (this.cancelReason !== undefined) {
			controller.abort(new Error(this.cancelReason));
			return;
		}
		this.observer.noteHandedOver();
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		statusCode: number,
		answerHeaders: Record<string, string | string[] | undefined>,
	): void {
		const isInformational = statusCode < 200;
		if (this.isOver || isInformational) {
			return;
		}
		if (statusCode > maxStatus) {
			this.abandon(`the target answered with the invalid status ${statusCode}`);
			return;
		}
		this.controller = controller;
		const lines = listHeaderLines(answerHeaders);
		const hasBody = this.method !== 'HEAD' && !statusesWithoutBody.has(statusCode);
		const endsWithConnection = hasBody && !isFramed(lines);
		this.needsWholeRequest = endsWithConnection && statusCode < minRedirectStatus;
		this.observer.receiveHead({ status: statusCode, lines, endsWithConnection });
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		// The parser repeats the call without bytes when it resumes, and a pause there would have no end.
		if (this.isOver || chunk.byteLength === 0) {
			return;
		}
		this.connection?.notePayload(chunk.byteLength);
		if (!this.observer.receiveData(chunk)) {
			this.isPaused = true;
			controller.pause();
		}
	}

	setConnection(connection: ConnectionState): void {
		this.connection = connection;
	}

	onResponseEnd(): void {
		if (this.isOver) {
			return;
		}
		const fault = this.findEndFault();
		this.isEndHeld = this.isPaused && fault === undefined;
		if (this.isEndHeld) {
			return;
		}
		this.isOver = true;
		if (fault !== undefined) {
			this.observer.noteFailed(new Error(fault));
			return;
		}
		this.observer.noteCompleted();
	}

	/** Returns why the end of the answer is none. */
	private findEndFault(): string | undefined {
		if (this.connection?.wasReset === true) {
			return 'the connection was reset before the end of the answer';
		}
		return this.needsWholeRequest && this.connection?.endedDuringRequest === true
			? 'the target ended the connection before it had the whole request'
			: undefined;
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.onDidLeaveQueue();
		if (!this.isOver) {
			this.isOver = true;
			this.observer.noteFailed(error);
		}
	}
}

/** Section 6.3 of RFC 9112: chunks end an answer only if they are its last transfer coding. */
function isFramed(lines: readonly HeaderLine[]): boolean {
	const codings = lines
		.filter(({ name }) => name === 'transfer-encoding')
		.flatMap(({ value }) => value.split(','));
	return codings.length === 0
		? lines.some(({ name }) => name === 'content-length')
		: codings.at(-1)?.trim().toLowerCase() === 'chunked';
}

function listHeaderLines(answerHeaders: Record<string, string | string[] | undefined>): HeaderLine[] {
	return Object.entries(answerHeaders).flatMap(([name, value]) => {
		if (value === undefined) {
			return [];
		}
		const values = typeof value === 'string' ? [value] : value;
		return values.map(single => ({ name, value: single }));
	});
}
