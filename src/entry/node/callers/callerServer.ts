/**
 * The HTTP server for callers, which serves lookups and calls. It reads heads and bodies, refuses requests that they
 * show to be invalid, and passes the others on to the entry. HTTP parse errors are also answered with one of the
 * defined error kinds.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import type { ITimerService } from '../../../base/common/timerService';
import { listenOn } from '../../../base/node/listenOn';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { headers } from '../../../core/headers/common/headers';
import type { RequestId } from '../../../core/ids/common/ids';
import type { ListenAddress } from '../../../core/settings/common/settingsTypes';
import type { IAnswerSink } from '../../common/callers/answerSink';
import type { CallHead, HeaderLine, RawHead } from '../../common/callers/callHead';
import { findHeader } from '../../common/callers/callHead';
import type { LookupAnswer, LookupRequest } from '../../common/callers/lookup';
import { parseLookup } from '../../common/callers/lookup';
import type { ICallerDialect } from '../../common/dialect/callerDialect';
import type { ReadTime } from '../../common/intake/arrivalTime';
import { estimateArrivalMs } from '../../common/intake/arrivalTime';
import type { ILoopLag } from '../../common/intake/loopLagGate';
import type { RequestIntake } from '../../common/intake/requestIntake';
import type { CallPlan } from '../../common/placement/callPlan';
import type { RefusedCall } from '../requests/activeRuns';
import type { AcceptedCall } from '../requests/requestRun';
import { AnsweringServer } from './answeringServer';
import type { HeldBytes } from './bodyReader';
import { incompleteBodyKinds, readBody } from './bodyReader';
import { CallerSink } from './callerSink';

/** The operations of the entry that the server uses. */
export interface ICallHandler {
	/** Returns the id requested by the caller if it is not in use, or else a new id. */
	createRequestId(requestedId?: string): RequestId;
	/** Parses the head of a call with the current manifest. */
	readHead(raw: RawHead): Result<CallHead, RequestError>;
	/** Undefined, or a promise that new calls must wait for after startup or a suspension of the process. */
	findHold(): Promise<void> | undefined;
	/** Decides by the head alone whether the call may go on to its body. */
	plan(head: CallHead): Result<CallPlan, RequestError>;
	/** Checks a call of a caller against the limit of its organisation; returns the plan if it may go on. */
	admit(head: CallHead, plan: CallPlan): Result<CallPlan, RequestError>;
	/** Adapts the refusal of a call with a ticket: the outcome may be unknown, since an earlier copy may have run. */
	refuseTicketedCall(ticket: string, error: RequestError): RequestError;
	/** Counts and records a call that ended before it was accepted. */
	recordRefused(call: RefusedCall, error: RequestError): void;
	accept(call: AcceptedCall, sink: IAnswerSink): void;
	findEntries(lookup: LookupRequest): Result<LookupAnswer, RequestError>;
	isLeaving(): boolean;
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
	readonly maxHeadBytes: number;
	readonly maxBodyBytes: number;
	/** Maximum time to receive the complete head of a request, in milliseconds. */
	readonly headTimeoutMs?: number;
	/** Maximum time that a connection may be idle, in milliseconds. */
	readonly idleTimeoutMs?: number;
}

const lookupPath = '/v1/entries';
const defaultHeadTimeoutMs = 10_000;
/** Maximum time to receive a complete request with its body. */
const requestTimeoutMs = 120_000;
/** Longer than callers usually keep idle connections, so that the caller closes them first. */
const defaultIdleTimeoutMs = 75_000;
/** Maximum time to flush finished answers at shutdown. Some megabytes take a minute over a slow link. */
const maxFlushMs = 120_000;
const headerOverflowCode = 'HPE_HEADER_OVERFLOW';
/** The caller did not send a complete head in time, so there is no request to answer. */
const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Interval at which Node checks connections for timeouts. */
const timeoutCheckIntervalMs = 1_000;

/** Serves lookups and calls over HTTP/1.1. */
export class CallerServer {
	private readonly server: AnsweringServer;

	constructor(
		private readonly handler: ICallHandler,
		private readonly dialect: ICallerDialect,
		private readonly heldBytes: HeldBytes,
		private limits: CallerLimits,
		private readonly intake: RequestIntake,
		private readonly timers: ITimerService,
		private readonly loopLag: ILoopLag,
	) {
		this.server = new AnsweringServer(
			{
				maxHeaderSize: limits.maxHeadBytes,
				headersTimeout: defaultHeadTimeoutMs,
				requestTimeout: requestTimeoutMs,
				connectionsCheckingInterval: timeoutCheckIntervalMs,
			},
			(request, response) => {
				this.serve(request, response);
			},
		);
		this.server.keepAliveTimeout = defaultIdleTimeoutMs;
		this.server.on('connection', () => {
			this.intake.noteConnection();
			this.loopLag.noteConnection();
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.answerParseError(error, socket);
		});
	}

	async listen(address: ListenAddress): Promise<AddressInfo> {
		return listenOn(this.server, address);
	}

	/** Changes the limits for new requests and connections. The maximum head size can only be lowered. */
	setLimits(limits: CallerLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headTimeoutMs ?? defaultHeadTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs ?? defaultIdleTimeoutMs;
	}

	/** Stops accepting connections; active ones continue and idle ones are closed. */
	stopListening(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	/**
	 * Stops listening, and resolves when the answers in progress have been sent. The wait is limited, because a
	 * caller that vanished without closing its connection never reads the rest of its answer, and the process would
	 * otherwise run for as long as the operating system retransmits.
	 */
	async close(): Promise<void> {
		return new Promise(resolve => {
			const limit = this.timers.schedule(maxFlushMs, () => {
				this.cutUnsentAnswers();
				this.server.closeAllConnections();
			});
			this.server.close(() => {
				limit.dispose();
				resolve();
			});
			this.server.closeIdleConnections();
		});
	}

	/** Resets the connections of answers that have begun and are not sent completely. */
	cutUnsentAnswers(): void {
		this.server.cutUnsentAnswers();
	}

	private serve(request: IncomingMessage, response: ServerResponse): void {
		const raw = readRawHead(request);
		if (raw.method === 'GET' && raw.url.split('?', 1)[0] === lookupPath) {
			this.serveLookup(raw.url, request, response);
			return;
		}
		void this.serveCall(raw, request, response);
	}

	private serveLookup(url: string, request: IncomingMessage, response: ServerResponse): void {
		const arrivedMs = this.timers.getNow();
		const id = this.handler.createRequestId();
		const answer = parseLookup(url).andThen(lookup => this.handler.findEntries(lookup));
		if (answer.isErr()) {
			this.handler.recordRefused({ id, head: undefined, line: `GET ${url}`, arrivedMs }, answer.error);
			this.createSink(id, request, response).refuse(answer.error);
			return;
		}
		const text = `${JSON.stringify(answer.value)}\n`;
		response.writeHead(200, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
			'cache-control': 'no-store',
			[headers.requestId]: id,
		});
		response.end(text);
	}

	private async serveCall(raw: RawHead, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const readMs = this.timers.getNow();
		const lagMs = this.loopLag.getLagMs();
		const id = this.handler.createRequestId(this.dialect.findRequestId(raw));
		const sink = this.createSink(id, request, response);
		const hold = this.handler.findHold();
		if (hold !== undefined) {
			await hold;
		}
		const head = this.readHead(raw);
		const call = { id, head: head.unwrapOr(undefined), line: `${raw.method} ${raw.url}`, arrivedMs: readMs };
		if (head.isErr()) {
			this.refuse(sink, call, findHeader(raw.lines, headers.ticket), head.error);
			return;
		}
		const plan = this.handler.plan(head.value).andThen(planned => this.handler.admit(head.value, planned));
		if (plan.isErr()) {
			this.refuse(sink, call, head.value.ticket, plan.error);
			return;
		}
		if (request.headers.expect !== undefined) {
			response.writeContinue();
		}
		const times = computeTimes(head.value, plan.value, { readMs, lagMs });
		const bodyLimits = { maxBytes: this.limits.maxBodyBytes, deadlineMs: times.deadlineMs };
		const body = await readBody(request, bodyLimits, this.heldBytes, this.timers);
		if (body.isErr()) {
			this.refuseBody(sink, call, body.error);
			return;
		}
		const accepted = createAcceptedCall(id, head.value, plan.value, body.value, times);
		const isAbandoned = (): boolean => response.destroyed || request.socket.readableEnded;
		const admitted = await this.intake.admit(isAbandoned, accepted.deadlineMs);
		if (admitted?.isErr() === true) {
			this.heldBytes.release(body.value.byteLength);
			this.refuse(sink, call, head.value.ticket, admitted.error);
			return;
		}
		this.handler.accept(accepted, sink);
	}

	private readHead(raw: RawHead): Result<CallHead, RequestError> {
		const headBytes = measureHead(raw);
		if (headBytes > this.limits.maxHeadBytes) {
			const detail = `${headBytes} bytes, at most ${this.limits.maxHeadBytes}`;
			return err(createRequestError(ErrorKind.HeadTooLarge, detail));
		}
		return this.handler.readHead(raw);
	}

	/** An incomplete body leaves its ticket unused, so that a resend of the call can run. */
	private refuseBody(sink: CallerSink, call: RefusedCall, error: RequestError): void {
		const ticket = incompleteBodyKinds.has(error.kind) ? undefined : call.head?.ticket;
		this.refuse(sink, call, ticket, error);
	}

	private refuse(sink: CallerSink, call: RefusedCall, ticket: string | undefined, error: RequestError): void {
		const reported = ticket === undefined ? error : this.handler.refuseTicketedCall(ticket, error);
		this.handler.recordRefused(call, reported);
		sink.refuse(reported);
	}

	private createSink(id: RequestId, request: IncomingMessage, response: ServerResponse): CallerSink {
		return new CallerSink(id, this.dialect, request, response, () => this.handler.isLeaving());
	}

	/** Bytes of a refusal would be read as a part of an answer that has begun, or as the answer to a request that runs. */
	private answerParseError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (this.server.isAnswering(socket)) {
			socket.resetAndDestroy();
			return;
		}
		if (!socket.writable || error.code === 'ECONNRESET' || error.code === requestTimeoutCode) {
			socket.destroy();
			return;
		}
		const kind = error.code === headerOverflowCode ? ErrorKind.HeadTooLarge : ErrorKind.MalformedHeader;
		const requestError = createRequestError(kind, error.code ?? error.message);
		const id = this.handler.createRequestId();
		const line = 'a malformed HTTP request';
		this.handler.recordRefused({ id, head: undefined, line, arrivedMs: this.timers.getNow() }, requestError);
		const refusal = this.dialect.createRefusal(id, requestError);
		const lines = [
			...refusal.lines,
			{ name: 'connection', value: 'close' },
			{ name: 'content-length', value: String(Buffer.byteLength(refusal.text)) },
		];
		const head = lines.map(line => `${line.name}: ${line.value}\r\n`).join('');
		socket.end(`HTTP/1.1 ${refusal.status} ${kind}\r\n${head}\r\n${refusal.text}`);
	}
}

function readRawHead(request: IncomingMessage): RawHead {
	const lines: HeaderLine[] = [];
	for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
		lines.push({
			name: (request.rawHeaders[index] ?? '').toLowerCase(),
			value: request.rawHeaders[index + 1] ?? '',
		});
	}
	return { method: request.method ?? 'GET', url: request.url ?? '/', lines };
}

type CallTimes = Pick<AcceptedCall, 'arrivedMs' | 'deadlineMs'>;

function computeTimes(head: CallHead, plan: CallPlan, readTime: ReadTime): CallTimes {
	const timeLimitMs = head.deadlineMs ?? plan.classes[head.requestClass].defaultDeadlineMs;
	const arrivedMs = estimateArrivalMs(readTime, timeLimitMs);
	return { arrivedMs, deadlineMs: arrivedMs + timeLimitMs };
}

function createAcceptedCall(
	id: RequestId,
	head: CallHead,
	plan: CallPlan,
	body: Uint8Array,
	times: CallTimes,
): AcceptedCall {
	return {
		id,
		head,
		plan,
		body,
		...times,
		isDeadlineGiven: head.deadlineMs !== undefined,
		origin: undefined,
	};
}

/** Size of a head on the wire: the request line, and each header line with its colon, space and line end. */
function measureHead({ method, url, lines }: RawHead): number {
	const separatorBytes = 4;
	const requestLine = method.length + url.length + ' HTTP/1.1  \r\n\r\n'.length;
	return lines.reduce(
		(sum, { name, value }) => sum + name.length + value.length + separatorBytes,
		requestLine,
	);
}
