/**
 * Forwards one request to another entry and returns its answer. The request counts as handed over only after the
 * connection is established, so an unreachable peer leaves the request's state unchanged.
 */

import { create } from '@bufbuild/protobuf';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { InstanceId, ManifestVersion, RegionName } from '../../../core/ids/common/ids';
import type {
	ForwardAnswerHead,
	ForwardFault,
	ForwardRequestRequest,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardRequestRequestSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { AnswerEnd } from '../../common/callers/answerEnd';
import type { HeaderLine } from '../../common/callers/callHead';
import { findHeader } from '../../common/callers/callHead';
import { RequestEvent } from '../../common/requests/requestLifecycle';
import { describeHistory } from '../../common/requests/attemptHistory';
import type { KnownOrigin } from '../../common/streams/streamOrigin';
import { describeContinuation } from '../../common/streams/streamOrigin';
import type { RequestRun } from '../requests/requestRun';
import { decodeOrigin, encodeOrigin } from '../streams/originCodec';
import { decodeHistory, encodeHistory } from './attemptHistoryCodec';
import { encodeKeyDigest } from './keyDigestCodec';
import type { PeerConnection } from './peerClients';

/** The entry that a request is forwarded to, and the reason. */
export interface ForwardRoute {
	readonly to: InstanceId;
	readonly peer: PeerConnection;
	readonly reason: string;
	/** One-way latency of the link to the peer, in milliseconds. */
	readonly oneWayMs?: number;
	/** When the peer has to give the request back unless it has started it, in monotonic milliseconds. */
	readonly startByMs?: number;
}

/** The forwarding entry and its manifest version. */
export interface ForwardSender {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly manifestVersion: ManifestVersion;
}

export enum ForwardEndKind {
	/** The complete answer was passed on. */
	Answered = 'answered',
	/** No connection was established; the state of the request is unchanged. */
	NotConnected = 'not-connected',
	/** The peer reported that the request was not run. */
	Refused = 'refused',
	/** The peer or the connection to it failed; the request may have run. */
	Failed = 'failed',
	/** The answer was passed on, and its end is uncertain. */
	Unconfirmed = 'unconfirmed',
	/** The caller disconnected. */
	Abandoned = 'abandoned',
}

/** How forwarding ended. Only `Answered` and `Abandoned` also end the request itself. */
export interface ForwardEnd {
	readonly kind: ForwardEndKind;
	readonly error: RequestError | undefined;
	/** Bytes of the request's body that were sent. */
	readonly sentBytes: number;
	/** Bytes of the answer's body that came back. */
	readonly receivedBytes: number;
	/** Whether the peer itself reported the end, and what it did for the request. */
	readonly isReported: boolean;
	/** Whether a target may have got the request from the peer. */
	readonly isSent: boolean;
}

const errorKindsByName: ReadonlyMap<string, ErrorKind> = new Map(
	Object.values(ErrorKind).map(kind => [kind, kind]),
);

const forwardHops = 1;
const chunkBytes = 65_536;
/** Connection timeout; covers several round trips between regions. */
const maxConnectMs = 2_000;
const maxUint32 = 0xffff_ffff;

type ConnectState = Awaited<ReturnType<PeerConnection['session']['connect']>>;

/** One forwarded request. */
export class ForwardRun {
	private readonly abort = new AbortController();
	private deadlineTimer: IDisposable | undefined;
	private sentBytes = 0;
	private receivedBytes = 0;
	/** The origin of the stream, once the peer has reported it. */
	private origin: KnownOrigin | undefined;
	private isAbandoned = false;
	/** Whether the peer has sent the head of its answer, without which nothing of it is passed on. */
	private hasHead = false;
	/** The length of the answer, if its head has one. A peer of an earlier release may go on with another answer's bytes. */
	private length: number | undefined;
	private isReported = false;
	private readonly maxRuns: number | undefined;
	/** Sends of the request before the forward. */
	private readonly earlierSends: number;

	constructor(
		private readonly run: RequestRun,
		private readonly route: ForwardRoute,
		private readonly sender: ForwardSender,
		/** Whether the peer reports its attempts. One of an earlier release may make all attempts of the route. */
		private readonly isCountingAttempts: boolean,
		private readonly timers: ITimerService,
	) {
		const maxAttempts = run.call.head.routed?.route.attempts;
		this.earlierSends = run.history.sends;
		this.maxRuns =
			maxAttempts === undefined ? undefined : computeMaxRuns(run.history.possibleRuns, maxAttempts);
	}

	/** Forwards the request and passes the answer on; never rejects. */
	async forward(): Promise<ForwardEnd> {
		this.run.lifecycle.send(RequestEvent.SendAway);
		const continuation = this.run.findContinuation();
		const continued =
			continuation === undefined ? '' : `, ${describeContinuation(continuation, this.timers.getNow())}`;
		const reason = `${this.route.reason}${continued}, ${describeHistory(this.run.history)}`;
		this.run.note(JournalStep.SentAway, `to ${this.route.to}: ${reason}`);
		const state = await this.openConnection();
		if (this.run.hasEnded()) {
			return this.createEnd(ForwardEndKind.Abandoned, undefined);
		}
		if (state === 'error') {
			this.run.lifecycle.send(RequestEvent.NotConnected);
			return this.createEnd(
				ForwardEndKind.NotConnected,
				this.createPeerError(ErrorKind.PeerUnreachable, 'no connection established'),
			);
		}
		this.run.lifecycle.send(RequestEvent.HandOver);
		const end = await this.exchangeMessages();
		if (end.error !== undefined && !end.isReported) {
			this.noteUnreportedAttempts(end.kind);
		}
		return end;
	}

	/** Cancels the stream to the peer after the caller has disconnected. */
	abandon(): void {
		this.isAbandoned = true;
		this.abort.abort();
	}

	/**
	 * On a link that drops all packets, a connection attempt neither succeeds nor fails for minutes. Without a timeout
	 * the request would wait past its deadline, its caller would get no answer and a leaving entry could not stop.
	 */
	private async openConnection(): Promise<ConnectState> {
		const startLimitMs = this.computeStartLimitMs() ?? Number.POSITIVE_INFINITY;
		const limitMs = Math.min(maxConnectMs, this.run.getRemainingMs(), startLimitMs);
		return new Promise(resolve => {
			const limit = this.timers.schedule(limitMs, () => {
				resolve('error');
			});
			void this.route.peer.session.connect().then(state => {
				limit.dispose();
				resolve(state);
			});
		});
	}

	private async exchangeMessages(): Promise<ForwardEnd> {
		this.deadlineTimer = this.timers.schedule(this.run.getRemainingMs(), () => {
			this.abort.abort();
		});
		try {
			return await this.receiveAnswer();
		} catch (error) {
			if (this.isAbandoned) {
				return this.createEnd(ForwardEndKind.Abandoned, undefined);
			}
			const isDeadlinePassed = this.run.getRemainingMs() === 0;
			const kind = isDeadlinePassed ? ErrorKind.DeadlineExceeded : ErrorKind.PeerFailed;
			const detail = error instanceof Error ? error.message : String(error);
			return this.createEnd(ForwardEndKind.Failed, this.createPeerError(kind, detail));
		} finally {
			this.deadlineTimer.dispose();
		}
	}

	private async receiveAnswer(): Promise<ForwardEnd> {
		const answers = this.route.peer.client.forwardRequest(this.streamRequest(), {
			signal: this.abort.signal,
		});
		for await (const { part } of answers) {
			switch (part.case) {
				case 'head': {
					const fault = this.hasHead ? 'a second head' : this.begin(part.value);
					if (fault !== undefined) {
						return this.refuseAnswer(fault);
					}
					break;
				}
				case 'body': {
					const fault = await this.writeChunk(part.value);
					if (fault !== undefined) {
						return this.refuseAnswer(fault);
					}
					break;
				}
				case 'origin':
					this.origin = {
						...decodeOrigin(part.value),
						source: this.route.to,
						learnedMs: this.timers.getNow(),
					};
					break;
				case 'fault':
					return this.endWithFault(part.value);
				case 'end':
					return this.endAnswer(part.value.isConfirmed);
				case undefined:
					break;
			}
		}
		return this.createFailedEnd('the answer ended without an end message');
	}

	private endAnswer(isConfirmed: boolean): ForwardEnd {
		if (!this.hasHead) {
			return this.createFailedEnd('the end of an answer without a head');
		}
		if (this.length !== undefined && this.receivedBytes < this.length) {
			return this.createFailedEnd('fewer bytes than its length');
		}
		if (this.run.isInsideEvent()) {
			return this.createFailedEnd('the stream ended inside an event');
		}
		if (isConfirmed || this.run.isEndCertain()) {
			this.run.finish(AnswerEnd.Certain);
			return this.createEnd(ForwardEndKind.Answered, undefined);
		}
		this.run.openEnd.noteEnd(() => !this.run.isResumable());
		this.noteUnreportedAttempts(ForwardEndKind.Unconfirmed);
		this.isReported = true;
		const error = this.createPeerError(ErrorKind.TargetFailed, 'nothing shows that the answer is whole');
		return this.createEnd(ForwardEndKind.Unconfirmed, error);
	}

	/** Cancels the stream before its messages are read no more, since the peer learns of it only then. */
	private refuseAnswer(fault: string): ForwardEnd {
		this.abort.abort();
		return this.createFailedEnd(fault);
	}

	private createFailedEnd(detail: string): ForwardEnd {
		return this.createEnd(ForwardEndKind.Failed, this.createPeerError(ErrorKind.PeerFailed, detail));
	}

	/** Returns why the answer can't be passed on, or undefined. */
	private begin(head: ForwardAnswerHead): string | undefined {
		if (!this.run.call.isDeadlineGiven) {
			this.deadlineTimer?.dispose();
		}
		const lines = head.headers.map(({ name, value }) => ({ name, value }));
		const { status, endsWithConnection } = head;
		const fault = this.run.begin({ status, lines, endsWithConnection }, () => this.origin);
		this.hasHead = fault === undefined;
		this.length = findBodyLength(this.run.call.head.method, status, lines);
		return fault;
	}

	/** Returns why the bytes can't be passed on, or undefined. */
	private async writeChunk(chunk: Uint8Array): Promise<string | undefined> {
		if (!this.hasHead) {
			return 'bytes of an answer without a head';
		}
		this.receivedBytes += chunk.byteLength;
		if (this.length !== undefined && this.receivedBytes > this.length) {
			return 'more bytes than its length';
		}
		if (!this.run.write(chunk)) {
			await this.waitForDrain();
		}
		return this.run.findStreamFault();
	}

	private async waitForDrain(): Promise<void> {
		await new Promise<void>(resolve => {
			this.abort.signal.addEventListener('abort', () => {
				resolve();
			});
			this.run.waitForDrain(resolve);
		});
	}

	private endWithFault(fault: ForwardFault): ForwardEnd {
		const kind = errorKindsByName.get(fault.errorKind) ?? ErrorKind.PeerFailed;
		if (fault.attempts !== undefined) {
			this.isReported = true;
			this.run.setHistory(decodeHistory(fault.attempts));
		}
		const error = createRequestError(kind, `${this.route.to}: ${fault.detail}`, {
			isOutcomeUnknown: fault.isOutcomeUnknown,
			...(fault.retryAfterMs > 0 ? { retryAfterMs: fault.retryAfterMs } : {}),
		});
		if (getOutcomeOf(error) === Outcome.NotRun && !this.run.hasBegun()) {
			this.run.lifecycle.send(RequestEvent.PeerRefused);
			return this.createEnd(ForwardEndKind.Refused, error);
		}
		return this.createEnd(ForwardEndKind.Failed, error);
	}

	private async *streamRequest(): AsyncGenerator<ForwardRequestRequest> {
		yield this.createHead();
		const { body } = this.run.call;
		for (let start = 0; start < body.byteLength; start += chunkBytes) {
			const value = body.subarray(start, start + chunkBytes);
			this.sentBytes += value.byteLength;
			yield create(ForwardRequestRequestSchema, { part: { case: 'body', value } });
		}
		await Promise.resolve();
	}

	/** Returns the time left for the peer to start the request, or undefined if it is unlimited. */
	private computeStartLimitMs(): number | undefined {
		const { startByMs } = this.route;
		return startByMs === undefined ? undefined : Math.max(0, startByMs - this.timers.getNow());
	}

	/** Returns the time for the peer from its reading of the request to its last byte, without both ways of the link. */
	private computePeerTimeMs(): number {
		return Math.max(0, this.run.getRemainingMs() - 2 * (this.route.oneWayMs ?? 0));
	}

	private createHead(): ForwardRequestRequest {
		const { id, head } = this.run.call;
		const startWithinMs = this.computeStartLimitMs();
		const continuation = this.run.findContinuation();
		return create(ForwardRequestRequestSchema, {
			part: {
				case: 'head',
				value: {
					requestId: id,
					service: head.service,
					organisation: head.organisation,
					requestClass: head.requestClass,
					method: head.method,
					path: head.path,
					headers: head.forwardedLines.map(({ name, value }) => ({ name, value })),
					remainingMs: Math.min(maxUint32, Math.floor(this.computePeerTimeMs())),
					isDeadlineGiven: this.run.call.isDeadlineGiven,
					prefixKey: head.prefixKey ?? '',
					ticket: head.ticket ?? '',
					hops: forwardHops,
					fromInstance: this.sender.instance,
					fromRegion: this.sender.region,
					manifestVersion: BigInt(this.sender.manifestVersion),
					host: head.routed?.host ?? '',
					lastEventId: this.run.getLastEventId() ?? '',
					isContinuation: this.run.hasBegun(),
					bodyBytes: this.run.call.body.byteLength,
					attempts: encodeHistory(this.run.history),
					...(head.keyDigest === undefined ? {} : { keyDigest: encodeKeyDigest(head.keyDigest) }),
					...(this.maxRuns === undefined ? {} : { maxRuns: this.maxRuns }),
					...(continuation?.origin === undefined ? {} : { origin: encodeOrigin(continuation.origin) }),
					...(startWithinMs === undefined ? {} : { startWithinMs: Math.floor(startWithinMs) }),
				},
			},
		});
	}

	private createPeerError(kind: ErrorKind, detail: string): RequestError {
		return createRequestError(kind, `${this.route.to}: ${detail}`);
	}

	/** Takes a peer that reported nothing to have done the most that it could. */
	private noteUnreportedAttempts(kind: ForwardEndKind): void {
		const { history, call } = this.run;
		const mostRuns = (this.isCountingAttempts ? this.maxRuns : call.head.routed?.route.attempts) ?? 0;
		this.run.setHistory({
			...history,
			sends: history.sends + 1,
			possibleRuns: kind === ForwardEndKind.Refused ? history.possibleRuns : mostRuns,
			isCounted: true,
		});
	}

	private createEnd(kind: ForwardEndKind, error: RequestError | undefined): ForwardEnd {
		const { sentBytes, receivedBytes, isReported } = this;
		const isSent = this.run.history.sends > this.earlierSends;
		return { kind, error, sentBytes, receivedBytes, isReported, isSent };
	}
}

/**
 * Returns the number of possible runs that a request may have when the peer gives it back. One is kept for the case
 * that the connection to the peer is lost, since the peer has to be taken to have used the others.
 */
function computeMaxRuns(possibleRuns: number, maxAttempts: number): number {
	return Math.max(possibleRuns + 1, maxAttempts - 1);
}

const statusNotModified = 304;

/** The number of bytes that the head of an answer promises, or undefined. */
function findBodyLength(method: string, status: number, lines: readonly HeaderLine[]): number | undefined {
	const length = findHeader(lines, 'content-length');
	const hasBody = method !== 'HEAD' && status !== statusNotModified;
	return length === undefined || !hasBody ? undefined : Number(length);
}
