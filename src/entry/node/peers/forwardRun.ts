/**
 * Carries one request to another entry and its answer back. The head counts as handed over only after the
 * connection stands, so a peer that cannot be reached leaves the request as unrun as it was.
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
import { RequestEvent } from '../../common/requests/requestLifecycle';
import type { RequestRun } from '../requests/requestRun';
import type { PeerConnection } from './peerClients';

/** Which entry a request goes to, and why. */
export interface ForwardWay {
	readonly to: InstanceId;
	readonly peer: PeerConnection;
	readonly reason: string;
}

/** Who forwards, and by which manifest. */
export interface ForwardSender {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly manifestVersion: ManifestVersion;
}

export enum ForwardEndKind {
	/** The whole answer was handed on. */
	Answered = 'answered',
	/** No connection: the request is where it was before. */
	NotConnected = 'not-connected',
	/** The peer itself says that the request was not run. */
	Refused = 'refused',
	/** The peer, or the way to it, failed; the request may have run. */
	Failed = 'failed',
	/** The caller went away. */
	Abandoned = 'abandoned',
}

/** How forwarding ended. Only `Answered` and `Abandoned` have ended the request as well. */
export interface ForwardEnd {
	readonly kind: ForwardEndKind;
	readonly error: RequestError | undefined;
	/** Bytes of the request's body that were sent. */
	readonly sentBytes: number;
	/** Bytes of the answer's body that came back. */
	readonly receivedBytes: number;
}

const errorKindsByName: ReadonlyMap<string, ErrorKind> = new Map(
	Object.values(ErrorKind).map(kind => [kind, kind]),
);

const allowedHops = 1;
const partBytes = 65_536;
/** Several round trips between regions. */
const mostConnectMs = 2_000;
const largestUint32 = 0xffff_ffff;

type ConnectState = Awaited<ReturnType<PeerConnection['session']['connect']>>;

/** One forwarded request. */
export class ForwardRun {
	private readonly abort = new AbortController();
	private deadline: IDisposable | undefined;
	private sentBytes = 0;
	private receivedBytes = 0;
	private isAbandoned = false;

	constructor(
		private readonly run: RequestRun,
		private readonly way: ForwardWay,
		private readonly sender: ForwardSender,
		private readonly timers: ITimerService,
	) {}

	/** Forwards and hands the answer on; never rejects. */
	async forward(): Promise<ForwardEnd> {
		this.run.lifecycle.send(RequestEvent.SendAway);
		this.run.note(JournalStep.SentAway, `to ${this.way.to}: ${this.way.reason}`);
		const state = await this.openConnection();
		if (this.run.hasEnded()) {
			return this.createEnd(ForwardEndKind.Abandoned, undefined);
		}
		if (state === 'error') {
			this.run.lifecycle.send(RequestEvent.NotConnected);
			return this.createEnd(
				ForwardEndKind.NotConnected,
				this.createFault(ErrorKind.PeerUnreachable, 'no connection'),
			);
		}
		this.run.lifecycle.send(RequestEvent.HandOver);
		return this.exchange();
	}

	/** The caller went away: the peer is told by the end of the stream. */
	abandon(): void {
		this.isAbandoned = true;
		this.abort.abort();
	}

	/**
	 * A connection into a link that swallows everything is neither opened nor refused for minutes. The
	 * request would wait past its deadline, its caller told nothing and a leaving entry kept from its end.
	 */
	private async openConnection(): Promise<ConnectState> {
		const limitMs = Math.min(mostConnectMs, this.run.getRemainingMs());
		return new Promise(resolve => {
			const limit = this.timers.schedule(limitMs, () => {
				resolve('error');
			});
			void this.way.peer.session.connect().then(state => {
				limit.dispose();
				resolve(state);
			});
		});
	}

	private async exchange(): Promise<ForwardEnd> {
		this.deadline = this.timers.schedule(this.run.getRemainingMs(), () => {
			this.abort.abort();
		});
		try {
			return await this.receive();
		} catch (error) {
			if (this.isAbandoned) {
				return this.createEnd(ForwardEndKind.Abandoned, undefined);
			}
			const isLate = this.run.getRemainingMs() === 0;
			const kind = isLate ? ErrorKind.DeadlineExceeded : ErrorKind.PeerFailed;
			const detail = error instanceof Error ? error.message : String(error);
			return this.createEnd(ForwardEndKind.Failed, this.createFault(kind, detail));
		} finally {
			this.deadline.dispose();
		}
	}

	private async receive(): Promise<ForwardEnd> {
		const answers = this.way.peer.client.forwardRequest(this.sendParts(), { signal: this.abort.signal });
		for await (const { part } of answers) {
			switch (part.case) {
				case 'head':
					this.begin(part.value);
					break;
				case 'body':
					await this.writePart(part.value);
					break;
				case 'fault':
					return this.endWithFault(part.value);
				case 'end':
					this.run.finish();
					return this.createEnd(ForwardEndKind.Answered, undefined);
				case undefined:
					break;
			}
		}
		return this.createEnd(
			ForwardEndKind.Failed,
			this.createFault(ErrorKind.PeerFailed, 'the answer has no end'),
		);
	}

	private begin(head: ForwardAnswerHead): void {
		if (!this.run.call.isDeadlineGiven) {
			this.deadline?.dispose();
		}
		this.run.begin({
			status: head.status,
			lines: head.headers.map(({ name, value }) => ({ name, value })),
			endsWithConnection: head.endsWithConnection,
		});
	}

	private async writePart(chunk: Uint8Array): Promise<void> {
		this.receivedBytes += chunk.byteLength;
		if (this.run.write(chunk)) {
			return;
		}
		await new Promise<void>(resolve => {
			this.abort.signal.addEventListener('abort', () => {
				resolve();
			});
			this.run.waitForDrain(resolve);
		});
	}

	private endWithFault(fault: ForwardFault): ForwardEnd {
		const kind = errorKindsByName.get(fault.errorKind) ?? ErrorKind.PeerFailed;
		const error = createRequestError(kind, `${this.way.to}: ${fault.detail}`, {
			isOutcomeUnknown: fault.isOutcomeUnknown,
			...(fault.retryAfterMs > 0 ? { retryAfterMs: fault.retryAfterMs } : {}),
		});
		if (getOutcomeOf(error) === Outcome.NotRun && !this.run.hasBegun()) {
			this.run.lifecycle.send(RequestEvent.PeerRefused);
			return this.createEnd(ForwardEndKind.Refused, error);
		}
		return this.createEnd(ForwardEndKind.Failed, error);
	}

	private async *sendParts(): AsyncGenerator<ForwardRequestRequest> {
		yield this.createHead();
		const { body } = this.run.call;
		for (let start = 0; start < body.byteLength; start += partBytes) {
			const value = body.subarray(start, start + partBytes);
			this.sentBytes += value.byteLength;
			yield create(ForwardRequestRequestSchema, { part: { case: 'body', value } });
		}
		await Promise.resolve();
	}

	private createHead(): ForwardRequestRequest {
		const { id, head } = this.run.call;
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
					remainingMs: Math.min(largestUint32, Math.floor(this.run.getRemainingMs())),
					isDeadlineGiven: this.run.call.isDeadlineGiven,
					prefixKey: head.prefixKey ?? '',
					ticket: head.ticket ?? '',
					hops: allowedHops,
					fromInstance: this.sender.instance,
					fromRegion: this.sender.region,
					manifestVersion: BigInt(this.sender.manifestVersion),
					host: head.routed?.host ?? '',
					lastEventId: this.run.getLastEventId() ?? '',
				},
			},
		});
	}

	private createFault(kind: ErrorKind, detail: string): RequestError {
		return createRequestError(kind, `${this.way.to}: ${detail}`);
	}

	private createEnd(kind: ForwardEndKind, error: RequestError | undefined): ForwardEnd {
		return { kind, error, sentBytes: this.sentBytes, receivedBytes: this.receivedBytes };
	}
}
