/**
 * The callers' HTTP server: lookups and calls. It reads heads and bodies, refuses what can be refused by
 * them, and hands the rest to the entry. Faults of the HTTP itself are answered from the closed list too.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
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
import type { RequestIntake } from '../../common/intake/requestIntake';
import type { CallPlan } from '../../common/placement/callPlan';
import type { RefusedCall } from '../requests/activeRuns';
import type { AcceptedCall } from '../requests/requestRun';
import type { HeldBytes } from './bodyReader';
import { readBody } from './bodyReader';
import { CallerSink } from './callerSink';

/** What the server asks of the entry. */
export interface ICallHandler {
	/** The id wanted by the caller where it is free, or one of the entry's own. */
	createRequestId(wanted?: string): RequestId;
	/** Reads the head of a call by the manifest in force. */
	readHead(raw: RawHead): Result<CallHead, RequestError>;
	/** Undefined, or what a call must wait for after this process slept. */
	findHold(): Promise<void> | undefined;
	/** Decides by the head alone whether the call may go on to its body. */
	plan(head: CallHead): Result<CallPlan, RequestError>;
	/** Weakens a refusal of a call that carries a ticket, whose earlier copy may have run. */
	refuseTicketed(ticket: string, error: RequestError): RequestError;
	/** Counts and records a call that ended before it was accepted. */
	recordRefused(call: RefusedCall, error: RequestError): void;
	accept(call: AcceptedCall, sink: IAnswerSink): void;
	findEntries(question: LookupRequest): Result<LookupAnswer, RequestError>;
	isLeaving(): boolean;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
	readonly mostHeadBytes: number;
	readonly mostBodyBytes: number;
	/** The head of a request must be whole after this time, in milliseconds. */
	readonly headTimeoutMs?: number;
	/** An idle connection is closed after this time, in milliseconds. */
	readonly idleTimeoutMs?: number;
}

const lookupPath = '/v1/entries';
const headTimeoutMs = 10_000;
/** A whole request, its body included, must arrive in this time. */
const requestTimeoutMs = 120_000;
/** Longer than callers usually keep idle connections, so that it is they who close them. */
const keepAliveTimeoutMs = 75_000;
/** Ended answers that a caller has not read: some megabytes, for which a thin link takes a minute. */
const mostFlushMs = 120_000;
const overflowCode = 'HPE_HEADER_OVERFLOW';
/** A caller that took too long over its head has no request that an answer could belong to. */
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Time between two looks at connections that take too long. */
const timeoutCheckMs = 1_000;

/** Serves callers. */
export class CallerServer {
	private readonly server: Server;

	constructor(
		private readonly handler: ICallHandler,
		private readonly dialect: ICallerDialect,
		private readonly held: HeldBytes,
		private limits: CallerLimits,
		private readonly intake: RequestIntake,
		private readonly timers: ITimerService,
	) {
		this.server = createServer(
			{
				maxHeaderSize: limits.mostHeadBytes,
				headersTimeout: headTimeoutMs,
				requestTimeout: requestTimeoutMs,
				connectionsCheckingInterval: timeoutCheckMs,
			},
			(request, response) => {
				this.serve(request, response);
			},
		);
		this.server.keepAliveTimeout = keepAliveTimeoutMs;
		this.server.on('connection', () => {
			this.intake.noteConnection();
		});
		this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
			this.serve(request, response);
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.answerParseError(error, socket);
		});
	}

	async listen(address: ListenAddress): Promise<AddressInfo> {
		return listenOn(this.server, address);
	}

	/** Puts other bounds in force for requests and connections from now on; heads never get larger. */
	setLimits(limits: CallerLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headTimeoutMs ?? headTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs ?? keepAliveTimeoutMs;
	}

	/** Stops taking new connections; those that are open go on. */
	stopListening(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	/**
	 * Stops listening, and ends once the answers in progress have been read. A caller that is gone without a
	 * word never reads its last bytes, and would keep the process for as long as the system tries to send.
	 */
	async close(): Promise<void> {
		return new Promise(resolve => {
			const limit = this.timers.schedule(mostFlushMs, () => {
				this.server.closeAllConnections();
			});
			this.server.close(() => {
				limit.dispose();
				resolve();
			});
			this.server.closeIdleConnections();
		});
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
		const answer = parseLookup(url).andThen(question => this.handler.findEntries(question));
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
		const arrivedMs = this.timers.getNow();
		const id = this.handler.createRequestId(this.dialect.findRequestId(raw));
		const sink = this.createSink(id, request, response);
		const hold = this.handler.findHold();
		if (hold !== undefined) {
			await hold;
		}
		const head = this.readHead(raw);
		const call = { id, head: head.unwrapOr(undefined), line: `${raw.method} ${raw.url}`, arrivedMs };
		if (head.isErr()) {
			this.refuse(sink, call, findHeader(raw.lines, headers.ticket), head.error);
			return;
		}
		const plan = this.handler.plan(head.value);
		if (plan.isErr()) {
			this.refuse(sink, call, head.value.ticket, plan.error);
			return;
		}
		if (request.headers.expect !== undefined) {
			response.writeContinue();
		}
		const body = await readBody(request, this.limits.mostBodyBytes, this.held);
		if (body.isErr()) {
			this.refuseBody(sink, call, body.error);
			return;
		}
		const admitted = await this.intake.admit(() => response.destroyed || request.socket.readableEnded);
		if (admitted?.isErr() === true) {
			this.held.release(body.value.byteLength);
			this.refuse(sink, call, head.value.ticket, admitted.error);
			return;
		}
		this.handler.accept(createCall(id, head.value, plan.value, body.value, arrivedMs), sink);
	}

	private readHead(raw: RawHead): Result<CallHead, RequestError> {
		const headBytes = measureHead(raw);
		if (headBytes > this.limits.mostHeadBytes) {
			const detail = `${headBytes} bytes, at most ${this.limits.mostHeadBytes}`;
			return err(createRequestError(ErrorKind.HeadTooLarge, detail));
		}
		return this.handler.readHead(raw);
	}

	/** A body that broke off is told to nobody; its ticket stays unspent, so that the resend can run. */
	private refuseBody(sink: CallerSink, call: RefusedCall, error: RequestError): void {
		const ticket = error.kind === ErrorKind.BodyIncomplete ? undefined : call.head?.ticket;
		this.refuse(sink, call, ticket, error);
	}

	private refuse(sink: CallerSink, call: RefusedCall, ticket: string | undefined, error: RequestError): void {
		const told = ticket === undefined ? error : this.handler.refuseTicketed(ticket, error);
		this.handler.recordRefused(call, told);
		sink.refuse(told);
	}

	private createSink(id: RequestId, request: IncomingMessage, response: ServerResponse): CallerSink {
		return new CallerSink(id, this.dialect, request, response, () => this.handler.isLeaving());
	}

	private answerParseError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || error.code === 'ECONNRESET' || error.code === timeoutCode) {
			socket.destroy();
			return;
		}
		const kind = error.code === overflowCode ? ErrorKind.HeadTooLarge : ErrorKind.MalformedHeader;
		const fault = createRequestError(kind, error.code ?? error.message);
		const id = this.handler.createRequestId();
		const line = 'a request that cannot be read';
		this.handler.recordRefused({ id, head: undefined, line, arrivedMs: this.timers.getNow() }, fault);
		const refusal = this.dialect.createRefusal(id, fault);
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

function createCall(
	id: RequestId,
	head: CallHead,
	plan: CallPlan,
	body: Uint8Array,
	arrivedMs: number,
): AcceptedCall {
	const lifetimeMs = head.deadlineMs ?? plan.classes[head.requestClass].defaultDeadlineMs;
	return {
		id,
		head,
		plan,
		body,
		arrivedMs,
		deadlineMs: arrivedMs + lifetimeMs,
		isDeadlineGiven: head.deadlineMs !== undefined,
		origin: undefined,
	};
}

/** Bytes of a head on the wire: the request's line, and each line with its colon, space and end. */
function measureHead({ method, url, lines }: RawHead): number {
	const perLine = 4;
	const requestLine = method.length + url.length + ' HTTP/1.1  \r\n\r\n'.length;
	return lines.reduce((sum, { name, value }) => sum + name.length + value.length + perLine, requestLine);
}
