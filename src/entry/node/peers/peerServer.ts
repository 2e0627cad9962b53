/**
 * The server for other entries, with the Connect protocol over HTTP/2: exchanges views, returns the current manifest
 * and accepts forwarded requests.
 */

import { create } from '@bufbuild/protobuf';
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { Http2SecureServer, Http2Server } from 'node:http2';
import { createSecureServer, createServer } from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import { listenOn } from '../../../base/node/listenOn';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { ListenAddress } from '../../../core/settings/common/settingsTypes';
import type { CertificateStore } from '../../../core/tls/node/certificateStore';
import { createPeerServerOptions, subscribeToRenewals } from '../../../core/tls/node/secureOptions';
import type {
	EntryView,
	FetchManifestResponse,
	FindStreamOriginResponse,
	FollowStoreRequest,
	FollowStoreResponse,
	ForwardHead,
	ForwardRequestRequest,
	ForwardRequestResponse,
	ShareCrashesRequest,
	ShareDemandRequest,
	ShareDemandResponse,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import {
	ExchangeViewsResponseSchema,
	FindStreamOriginResponseSchema,
	KeepStreamOriginsResponseSchema,
	PeerService,
	ShareCrashesResponseSchema,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { IAnswerSink } from '../../common/callers/answerSink';
import type { CallHead, ForwardedKey, RawHead } from '../../common/callers/callHead';
import type { AttemptHistory } from '../../common/requests/attemptHistory';
import { noAttempts } from '../../common/requests/attemptHistory';
import { estimateArrivalMs } from '../../common/intake/arrivalTime';
import type { ReadTime } from '../../common/intake/arrivalTime';
import type { ILoopLag } from '../../common/intake/loopLagGate';
import type { RequestIntake } from '../../common/intake/requestIntake';
import type { KeyOwner } from '../../common/keys/callerKey';
import type { CallPlan, ForwardOrigin } from '../../common/placement/callPlan';
import type { OriginGroup } from '../../common/streams/originLog';
import type { StreamKey } from '../../common/streams/streamOrigins';
import { decodeGroups, encodeOrigin } from '../streams/originCodec';
import type { ReportedOrigin } from '../streams/originPeers';
import { encodeVersionHistory } from '../streams/versionHistoryCodec';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { HeldBytes } from '../callers/bodyReader';
import { incompleteBodyKinds } from '../callers/bodyReader';
import type { AcceptedCall } from '../requests/requestRun';
import { decodeHistory } from './attemptHistoryCodec';
import type { ForwardedParts } from './forwardedBody';
import { drainParts, ForwardedBodyReader } from './forwardedBody';
import { createForwardedCall, readForwardedHead } from './forwardedCall';
import { SessionDrainer } from './sessionDrainer';
import { setSessionWindow, windowSettings } from './flowWindows';
import { LingeringSockets } from './lingeringSockets';
import type { DemandReceiver } from '../limits/demandPeers';
import { serveDemand } from '../limits/demandPeers';
import type { AddReader } from '../storeRelay/peerFeeds';
import { serveFeed } from '../storeRelay/peerFeeds';
import { createFaultMessage, PeerSink } from './peerSink';

/** The operations of the entry that the server uses. */
export interface IPeerHandler {
	exchangeViews(views: readonly EntryView[]): EntryView[];
	receiveCrashReport(report: ShareCrashesRequest): void;
	/** Records origins of streams that another entry has begun. */
	keepStreamOrigins(from: InstanceId, groups: readonly OriginGroup[]): void;
	findStreamOrigin(key: StreamKey): ReportedOrigin | undefined;
	describeManifest(): FetchManifestResponse;
	/** Undefined, or a promise that new calls must wait for after startup or a suspension of the process. */
	findHold(): Promise<void> | undefined;
	/** Checks a forwarded call against this entry's own manifest before its body is read. */
	planForwarded(head: CallHead, from: ForwardOrigin): Result<CallPlan, RequestError>;
	refuseTicketedCall(ticket: string, error: RequestError): RequestError;
	/** Parses the head of a call like one that a caller sent to this entry directly. */
	readHead(raw: RawHead): Result<CallHead, RequestError>;
	/** Finds the owner of the key of a forwarded call that names its service. */
	resolveForwardedKey(key: ForwardedKey): Result<KeyOwner | undefined, RequestError>;
	accept(call: AcceptedCall, sink: IAnswerSink): void;
}

/** Feeds other entries with the changes of the platform's store. */
export interface IStoreFeedServer {
	addReader: AddReader;
}

/** A forwarded request that is refused before it is accepted. */
interface RejectedForward {
	readonly error: RequestError;
	readonly history: AttemptHistory;
}

/** Serves the requests of other entries. */
export class PeerServer extends Disposable {
	private readonly server: Http2Server | Http2SecureServer;
	private readonly sessionDrainer: SessionDrainer;
	private readonly lingeringSockets: LingeringSockets;

	constructor(
		private readonly handler: IPeerHandler,
		private readonly heldBytes: HeldBytes,
		private readonly maxBodyBytes: number,
		private readonly intake: RequestIntake,
		private readonly timers: ITimerService,
		private readonly loopLag: ILoopLag,
		certificates: CertificateStore | undefined,
		private readonly storeFeeds?: IStoreFeedServer,
		private readonly demandReceiver?: DemandReceiver,
		private readonly versions?: Pick<ITargetRegistry, 'describeVersionHistory'>,
	) {
		super();
		const routes = (router: ConnectRouter): void => {
			router.service(PeerService, {
				exchangeViews: ({ views }) =>
					create(ExchangeViewsResponseSchema, { views: this.handler.exchangeViews(views) }),
				shareCrashes: report => {
					this.handler.receiveCrashReport(report);
					return create(ShareCrashesResponseSchema);
				},
				keepStreamOrigins: ({ fromInstance, groups }) => {
					this.handler.keepStreamOrigins(fromInstance as InstanceId, decodeGroups(groups));
					return create(KeepStreamOriginsResponseSchema);
				},
				findStreamOrigin: ({ streamKey }) => this.createOriginAnswer(streamKey),
				findVersionHistory: () => encodeVersionHistory(this.versions?.describeVersionHistory()),
				fetchManifest: () => this.handler.describeManifest(),
				followStore: (request, context) => this.serveStoreFeed(request, context),
				shareDemand: request => this.serveDemand(request),
				forwardRequest: (requests, context) => this.serveForwarded(requests, context),
			});
		};
		this.server = this.createServer(connectNodeAdapter({ routes, acceptCompression: [] }), certificates);
		this.lingeringSockets = new LingeringSockets(timers);
		this.sessionDrainer = new SessionDrainer(timers);
		this.server.on(certificates === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
			this.lingeringSockets.add(socket);
			this.intake.noteConnection();
			this.loopLag.noteConnection();
		});
		this.server.on('session', session => {
			setSessionWindow(session);
			this.sessionDrainer.add(session);
		});
	}

	async listen(address: ListenAddress): Promise<AddressInfo> {
		return listenOn(this.server, address);
	}

	/** Stops listening, and ends each session after its last stream. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.dispose();
			this.server.close(() => {
				this.sessionDrainer.dispose();
				resolve();
			});
			this.lingeringSockets.endAfterLinger();
			this.sessionDrainer.close();
		});
	}

	private createOriginAnswer(key: StreamKey): FindStreamOriginResponse {
		const found = this.handler.findStreamOrigin(key);
		return create(
			FindStreamOriginResponseSchema,
			found && { origin: encodeOrigin(found.origin), ageMs: Math.round(found.ageMs) },
		);
	}

	private createServer(
		handler: ReturnType<typeof connectNodeAdapter>,
		certificates: CertificateStore | undefined,
	): Http2Server | Http2SecureServer {
		if (certificates === undefined) {
			return createServer({ settings: windowSettings }, handler);
		}
		const server = createSecureServer(
			{ ...createPeerServerOptions(certificates.getCurrent()), settings: windowSettings },
			handler,
		);
		this.register(subscribeToRenewals(server, certificates));
		return server;
	}

	private serveStoreFeed(
		request: FollowStoreRequest,
		{ signal }: HandlerContext,
	): AsyncGenerator<FollowStoreResponse> {
		const { storeFeeds } = this;
		if (storeFeeds === undefined) {
			throw new ConnectError('this entry does not follow a store', Code.Unimplemented);
		}
		return serveFeed(request, (feed, observer) => storeFeeds.addReader(feed, observer), signal);
	}

	private serveDemand(request: ShareDemandRequest): ShareDemandResponse {
		if (this.demandReceiver === undefined) {
			throw new ConnectError('this entry does not share limits', Code.Unimplemented);
		}
		return serveDemand(request, this.demandReceiver);
	}

	private async *serveForwarded(
		requests: AsyncIterable<ForwardRequestRequest>,
		context: HandlerContext,
	): AsyncGenerator<ForwardRequestResponse> {
		const readMs = this.timers.getNow();
		const lagMs = this.loopLag.getLagMs();
		const parts = requests[Symbol.asyncIterator]();
		const accepted = await this.readForwardedCall(parts, { readMs, lagMs }, context.signal);
		if (accepted.isErr()) {
			void drainParts(parts);
			yield createFaultMessage(accepted.error.error, accepted.error.history);
			return;
		}
		const sink = new PeerSink();
		context.signal.addEventListener('abort', () => {
			sink.abandon();
		});
		this.handler.accept(accepted.value, sink);
		yield* sink.takeMessages();
	}

	private async readForwardedCall(
		parts: ForwardedParts,
		readTime: ReadTime,
		signal: AbortSignal,
	): Promise<Result<AcceptedCall, RejectedForward>> {
		const first = await parts.next();
		if (first.done === true || first.value.part.case !== 'head') {
			const error = createRequestError(
				ErrorKind.PeerFailed,
				'the forwarded request does not start with a head',
			);
			return err({ error, history: noAttempts });
		}
		const message = first.value.part.value;
		await this.handler.findHold();
		const head = readForwardedHead(
			message,
			raw => this.handler.readHead(raw),
			key => this.handler.resolveForwardedKey(key),
		);
		const from = { hops: message.hops, region: message.fromRegion as RegionName };
		const plan = head.andThen(parsed => this.handler.planForwarded(parsed, from));
		if (head.isErr() || plan.isErr()) {
			return err(this.createReportedError(message, plan._unsafeUnwrapErr()));
		}
		const deadlineMs = estimateArrivalMs(readTime, message.remainingMs) + message.remainingMs;
		const limits = { maxBytes: this.maxBodyBytes, deadlineMs, statedBytes: message.bodyBytes };
		const body = await new ForwardedBodyReader(parts, signal, limits, this.heldBytes, this.timers).read();
		const admitted = body.isErr() ? undefined : await this.intake.admit(() => signal.aborted, deadlineMs);
		if (body.isOk() && admitted?.isErr() === true) {
			this.heldBytes.release(body.value.byteLength);
			return err(this.createReportedError(message, admitted.error));
		}
		return body
			.map(bytes => createForwardedCall(message, head.value, plan.value, bytes, readTime))
			.mapErr(error => this.createReportedError(message, error));
	}

	private createReportedError(message: ForwardHead, error: RequestError): RejectedForward {
		const history = message.attempts === undefined ? noAttempts : decodeHistory(message.attempts);
		// A resend of a call whose body was incomplete can run with its ticket.
		const isTicketRefused = message.ticket !== '' && !incompleteBodyKinds.has(error.kind);
		const reported = isTicketRefused ? this.handler.refuseTicketedCall(message.ticket, error) : error;
		return { error: reported, history };
	}
}
