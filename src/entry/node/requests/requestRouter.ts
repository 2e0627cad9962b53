/**
 * Routes each accepted request to the targets of this entry's region, to an entry of another region, or, if it
 * has a ticket, to the entry that issued the ticket. A request that another entry forwarded here is served or
 * refused here: no request is forwarded twice.
 */

import type { ITimerService } from '../../../base/common/timerService';
import { waitForResult } from '../../../base/common/waitFor';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { JournalStep } from '../../../core/explain/common/requestJournal';
import type { InstanceId, RegionName, ServiceName, StreamId } from '../../../core/ids/common/ids';
import { RepeatRule, UnticketedRule } from '../../../core/manifest/common/manifest';
import type { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import { AnswerEnd } from '../../common/callers/answerEnd';
import type { IAnswerSink } from '../../common/callers/answerSink';
import type { IStartGate } from '../../common/intake/loopLagGate';
import { noKeyCheck } from '../../common/keys/keyConfirmation';
import type { IKeyCheck } from '../../common/keys/keyConfirmation';
import { isAllowedRegion } from '../../common/placement/callPlan';
import { RequestEvent } from '../../common/requests/requestLifecycle';
import type { VersionRequirement } from '../../common/scheduling/versionMatch';
import type { KnownOrigin } from '../../common/streams/streamOrigin';
import { computeRemoteStartLimitMs } from '../../common/sendAway/remoteStartLimit';
import type {
	ISendAwayPolicy,
	OwnerRegion,
	RemoteOffer,
	SendAwayContext,
} from '../../common/sendAway/sendAwayPolicy';
import { RemoteEnd } from '../../common/sendAway/sendAwayPolicy';
import type { ForwardEnd, ForwardRoute } from '../peers/forwardRun';
import { ForwardEndKind, ForwardRun } from '../peers/forwardRun';
import type { ForwardSender } from '../peers/forwardRun';
import type { PeerConnection } from '../peers/peerClients';
import type { TicketService } from '../tickets/ticketService';
import type { RefusedCall } from './activeRuns';
import type { IRequestFallback } from './requestFallback';
import { createUnreachedError } from './requestFallback';
import type { AcceptedCall, RequestRun } from './requestRun';
import type { ServiceRunner } from './serviceRunner';
import { isAnswering } from './attemptEnds';
import { createSchedulable } from './schedulableRequest';
import type { IRequestForwarder } from './ticketRouter';
import { TicketRouter } from './ticketRouter';

/** The parts of the entry that the router depends on. */
export interface IRouterContext {
	/** Returns the runner of a service that the manifest lists. */
	getRunner(service: ServiceName): ServiceRunner;
	getSendAwayPolicy(service: ServiceName): ISendAwayPolicy;
	/** Lists entries of other regions with the capacity that they reported for the service, and that may get the request. */
	listOffers(
		service: ServiceName,
		required: VersionRequirement | undefined,
		isKeyed: boolean,
	): readonly RemoteOffer[];
	/** Finds the origin of the stream that a caller resumes, which the caller may not have named. */
	findStreamOrigin(service: ServiceName, stream: StreamId | undefined): Promise<KnownOrigin | undefined>;
	/** Whether this entry reaches no target of the service. */
	isCut(service: ServiceName): boolean;
	/** Picks another entry of this region that reaches targets of the service. */
	pickNeighbour(
		service: ServiceName,
		triedEntries: readonly InstanceId[],
		required: VersionRequirement | undefined,
		isKeyed: boolean,
	): InstanceId | undefined;
	noteRelayEnd(instance: InstanceId, end: ForwardEnd): void;
	/** Sets what takes the requests of a service while this entry reaches none of its targets. */
	setFallback(fallback: IRequestFallback): void;
	/** Whether an entry reports the attempts of requests that are forwarded to it. */
	isCountingAttempts(instance: InstanceId): boolean;
	/** Whether an entry confirms the keys of requests that are forwarded to it. */
	isConfirmingKeys(instance: InstanceId): boolean;
	findPeer(instance: InstanceId): PeerConnection | undefined;
	/** Describes this entry as the sender of forwarded requests. */
	describeSender(): ForwardSender;
	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun;
	noteForwardEnd(service: ServiceName, region: RegionName, end: ForwardEnd): void;
	findRegion(instance: InstanceId): RegionName | undefined;
	/** Finds the region, among those allowed, whose targets should cache the shared part of the prompt. */
	findOwnerRegion(run: RequestRun): OwnerRegion | undefined;
	noteTicket(result: TicketResult): void;
	recordRefused(call: RefusedCall, error: RequestError): void;
}

/** How many entries of other regions are tried in turn for a request that may not be answered in this region. */
const maxForwardsPerRequest = 3;

/**
 * Time in which a neighbour has to start a request of an entry that reaches no target: at most this, and at most this share
 * of the time left. A neighbour that can't may be losing its paths as well, and there is time for another one.
 */
const maxRelayStartMs = 1_000;
const maxRelayStartShare = 0.25;

/** Suggested to callers as the retry delay if no entry is known in the regions allowed to answer. */
const unreachableRetryAfterMs = 500;

/** Errors of an entry whose targets may not go on with a stream because of their software version. */
const versionErrors: ReadonlySet<ErrorKind> = new Set([ErrorKind.StreamUnknown, ErrorKind.VersionNotServed]);

/** An entry to which a request was forwarded in vain. */
interface TriedEntry {
	readonly instance: InstanceId;
	/** The region of the entry, if no target there may run the request. The entries of a region share its targets. */
	readonly unfitRegion?: RegionName;
	/**
	 * Whether the entry is sound and may get the request again: a target there failed. An entry that reports the failure of an earlier
	 * attempt and has made none refuses it, as its budget of retries is used up.
	 */
	readonly isUsable: boolean;
}

/** Errors of targets that a sound entry reports. */
const targetErrors: ReadonlySet<ErrorKind> = new Set([ErrorKind.TargetFailed, ErrorKind.TargetSilent]);

/** The end of a forward of a request that was refused here before it was sent. */
const unsentForward: ForwardEnd = {
	kind: ForwardEndKind.Abandoned,
	error: undefined,
	sentBytes: 0,
	receivedBytes: 0,
	isReported: false,
	isSent: false,
};

/** Lists the entries that may not get the request again. */
function listInstances(triedEntries: readonly TriedEntry[]): readonly InstanceId[] {
	return triedEntries.filter(({ isUsable }) => !isUsable).map(({ instance }) => instance);
}

/** Routes the accepted requests of one entry. */
export class RequestRouter implements IRequestForwarder {
	private readonly tickets: TicketRouter;

	constructor(
		private readonly context: IRouterContext,
		tickets: TicketService,
		private readonly timers: ITimerService,
		private readonly startGate: IStartGate,
		private readonly keys: IKeyCheck = noKeyCheck,
	) {
		this.tickets = new TicketRouter(context, tickets, this, timers);
		context.setFallback({
			isAvailable: run => this.isServableElsewhere(run),
			takeOver: run => {
				this.serveElsewhere(run, [], createUnreachedError());
			},
		});
	}

	/** Records a request that was refused before its body was complete. */
	recordRefused(call: RefusedCall, error: RequestError): void {
		this.context.recordRefused(call, error);
	}

	/**
	 * Routes a request whose body is complete.
	 *
	 * @param newTicketRefusal If given, a call with an unused ticket is refused with this error. A call with a
	 * used ticket still joins the running request of that ticket or receives its stored answer.
	 */
	dispatch(call: AcceptedCall, sink: IAnswerSink, newTicketRefusal?: RequestError): void {
		const { ticket } = call.head;
		if (call.plan.repeat === RepeatRule.Idempotent) {
			this.dispatchUnticketed(this.openRun(call, sink));
			return;
		}
		if (ticket !== undefined) {
			this.tickets.dispatch(call, ticket, sink, newTicketRefusal);
			return;
		}
		const run = this.openRun(call, sink);
		if (call.plan.unticketed === UnticketedRule.Refuse) {
			run.fail(createRequestError(ErrorKind.TicketMissing, `${call.head.method} ${call.head.path}`));
			return;
		}
		this.dispatchUnticketed(run);
	}

	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun {
		const run = this.context.openRun(call, sink);
		run.lifecycle.send(RequestEvent.AcceptHead);
		return run;
	}

	/** Routes a request that has no ticket, or needs none because it may be repeated. */
	private dispatchUnticketed(run: RequestRun): void {
		this.startGate.run(() => {
			this.sendUnticketed(run);
		});
	}

	private sendUnticketed(run: RequestRun): void {
		if (run.hasEnded() || this.refuseKey(run)) {
			return;
		}
		if (run.isOriginMissing()) {
			void this.sendResumed(run);
			return;
		}
		if (this.context.isCut(run.call.head.service)) {
			this.serveElsewhere(run, [], createUnreachedError());
			return;
		}
		if (isAllowedToLeave(run) && this.startSendAway(run, [])) {
			return;
		}
		if (!this.isLocalRegionAllowed(run)) {
			run.fail(createUnreachableError());
			return;
		}
		this.submitLocally(run);
	}

	/** Finds the origin of a stream that a caller resumes before the request is routed. Refuses it if nobody knows it in time. */
	private async sendResumed(run: RequestRun): Promise<void> {
		const { service, routed } = run.call.head;
		const search = this.context.findStreamOrigin(service, routed?.resumes);
		const origin = await waitForResult(this.timers, run.getRemainingMs(), search);
		if (run.hasEnded()) {
			return;
		}
		if (origin === undefined) {
			const error = createRequestError(ErrorKind.StreamUnknown, describeUnknownStream(routed?.resumes));
			run.noteRefusal(error);
			run.fail(error);
			return;
		}
		run.setOrigin(origin);
		this.sendUnticketed(run);
	}

	/** Refuses a request whose key may not be used now. */
	private refuseKey(run: RequestRun): boolean {
		const refusal = this.keys.findRefusal(run.call.head);
		if (refusal === undefined) {
			return false;
		}
		run.noteRefusal(refusal);
		run.fail(refusal);
		return true;
	}

	private isLocalRegionAllowed(run: RequestRun): boolean {
		return isAllowedRegion(run.call.plan, this.context.describeSender().region);
	}

	/**
	 * Forwards a request that can't be served here: to an entry of this region if that may answer it, else to another
	 * region. Refuses it at once if neither is possible. The ledger of a ticket is here, so its request stays.
	 */
	private serveElsewhere(run: RequestRun, triedEntries: readonly TriedEntry[], error: RequestError): void {
		if (this.refuseKey(run)) {
			return;
		}
		const isForwarded =
			this.isForwardable(run, triedEntries) &&
			(this.startAtNeighbour(run, triedEntries) ||
				(isAllowedToLeave(run) && this.startSendAway(run, triedEntries)));
		if (!isForwarded) {
			run.fail(error);
		}
	}

	/** Whether another entry can get the request. One that was forwarded here goes back to its sender, which decides. */
	private isServableElsewhere(run: RequestRun): boolean {
		if (run.call.origin !== undefined) {
			return true;
		}
		const hasEntry = (): boolean =>
			this.pickNeighbour(run, []) !== undefined ||
			(isAllowedToLeave(run) && this.listOffers(run, []).length > 0);
		return this.isForwardable(run, []) && hasEntry();
	}

	private isForwardable(run: RequestRun, triedEntries: readonly TriedEntry[]): boolean {
		return (
			run.call.origin === undefined &&
			run.call.head.ticket === undefined &&
			triedEntries.length < maxForwardsPerRequest &&
			run.getRemainingMs() > 0
		);
	}

	/** Forwards the request to another entry of this region. */
	private startAtNeighbour(run: RequestRun, triedEntries: readonly TriedEntry[]): boolean {
		const to = this.pickNeighbour(run, triedEntries);
		const peer = to === undefined ? undefined : this.context.findPeer(to);
		if (to === undefined || peer === undefined || !this.isAttemptLimitKept(run, to)) {
			return false;
		}
		const startLimitMs = Math.min(maxRelayStartMs, run.getRemainingMs() * maxRelayStartShare);
		const startByMs = this.timers.getNow() + startLimitMs;
		const reason = `no target of ${run.call.head.service} is reached`;
		void this.forwardToNeighbour(run, { to, peer, reason, startByMs }, triedEntries);
		return true;
	}

	private pickNeighbour(run: RequestRun, triedEntries: readonly TriedEntry[]): InstanceId | undefined {
		const { service, keyDigest } = run.call.head;
		const tried = listInstances(triedEntries);
		return this.isLocalRegionAllowed(run)
			? this.context.pickNeighbour(service, tried, run.findRequiredVersion(), keyDigest !== undefined)
			: undefined;
	}

	/** Lists the offers of other regions that the request may go to. */
	private listOffers(run: RequestRun, triedEntries: readonly TriedEntry[]): readonly RemoteOffer[] {
		const { plan, head } = run.call;
		const triedInstances = listInstances(triedEntries);
		const unfitRegions = triedEntries.map(({ unfitRegion }) => unfitRegion);
		return this.context
			.listOffers(head.service, run.findRequiredVersion(), head.keyDigest !== undefined)
			.filter(({ instance, region }) => isAllowedRegion(plan, region) && !triedInstances.includes(instance))
			.filter(({ region }) => !unfitRegions.includes(region))
			.filter(({ instance }) => this.isAttemptLimitKept(run, instance));
	}

	/** An entry of an earlier release would make all attempts of the route once more. */
	private isAttemptLimitKept(run: RequestRun, to: InstanceId): boolean {
		return run.history.possibleRuns === 0 || this.context.isCountingAttempts(to);
	}

	private async forwardToNeighbour(
		run: RequestRun,
		way: ForwardRoute,
		triedEntries: readonly TriedEntry[],
	): Promise<void> {
		const end = await this.forward(run, way);
		this.context.noteRelayEnd(way.to, end);
		this.handleForwardEnd(run, end, [...triedEntries, this.createTriedEntry(way.to, end)]);
	}

	/** Forwards the request to another region if the policy decides so, except to the entries in `triedEntries`. */
	private startSendAway(run: RequestRun, triedEntries: readonly TriedEntry[]): boolean {
		const { head } = run.call;
		const runner = this.context.getRunner(head.service);
		const request = createSchedulable(run);
		const owner = this.context.findOwnerRegion(run);
		const listOffers = (): readonly RemoteOffer[] => this.listOffers(run, triedEntries);
		const isCut = this.context.isCut(head.service);
		const localRoom = runner.measureRoom(request);
		const question: SendAwayContext = {
			request,
			localRoom: isCut ? { ...localRoom, waitMs: Number.POSITIVE_INFINITY } : localRoom,
			...(owner === undefined ? {} : { owner }),
			// Most requests are kept without a look at the offers, whose number grows with the fleet.
			get offers() {
				return listOffers();
			},
			isUnservedHere: isCut || !this.isLocalRegionAllowed(run) || !runner.hasTarget(request),
		};
		const policy = this.context.getSendAwayPolicy(head.service);
		const decision = policy.decide(question, this.timers.getNow());
		const peer = decision.sendTo === undefined ? undefined : this.context.findPeer(decision.sendTo);
		if (decision.sendTo === undefined || peer === undefined) {
			return false;
		}
		const oneWayMs = question.offers.find(({ instance }) => instance === decision.sendTo)?.oneWayMs ?? 0;
		const startLimitMs = question.isUnservedHere
			? undefined
			: computeRemoteStartLimitMs({
					remainingMs: run.getRemainingMs(),
					localFirstByteMs: question.localRoom.waitMs,
					oneWayMs,
				});
		const route = {
			to: decision.sendTo,
			peer,
			reason: decision.reason,
			oneWayMs,
			...(startLimitMs === undefined ? {} : { startByMs: this.timers.getNow() + startLimitMs }),
		};
		void this.sendAway(run, route, triedEntries);
		return true;
	}

	private createTriedEntry(instance: InstanceId, end: ForwardEnd): TriedEntry {
		const region = isVersionFault(end) ? this.context.findRegion(instance) : undefined;
		return {
			instance,
			isUsable: isTargetFailure(end) && end.isSent,
			...(region === undefined ? {} : { unfitRegion: region }),
		};
	}

	private submitLocally(run: RequestRun): void {
		const runner = this.context.getRunner(run.call.head.service);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submit(run);
	}

	private async sendAway(
		run: RequestRun,
		way: ForwardRoute,
		triedEntries: readonly TriedEntry[],
	): Promise<void> {
		const { to } = way;
		const startedMs = this.timers.getNow();
		const service = run.call.head.service;
		const end = await this.forward(run, way);
		const tookMs = this.timers.getNow() - startedMs;
		const region = this.context.findRegion(to);
		if (region !== undefined) {
			this.context.noteForwardEnd(service, region, end);
		}
		const policy = this.context.getSendAwayPolicy(service);
		policy.recordEnd(to, toRemoteEnd(end), tookMs, end.sentBytes + end.receivedBytes, this.timers.getNow());
		this.handleForwardEnd(run, end, [...triedEntries, this.createTriedEntry(to, end)]);
	}

	/**
	 * Retries a request after a failed forward, if it was not run or may be repeated: in this region if allowed,
	 * otherwise at another entry.
	 */
	private handleForwardEnd(run: RequestRun, end: ForwardEnd, triedEntries: readonly TriedEntry[]): void {
		const { confirmations } = this.context.getRunner(run.call.head.service);
		confirmations.noteForwardEnd(run, end);
		if (run.hasEnded() || end.error === undefined) {
			return;
		}
		if (end.kind === ForwardEndKind.Unconfirmed && !confirmations.isDue(run)) {
			run.finish(AnswerEnd.Uncertain);
			return;
		}
		const isNotRun = end.kind === ForwardEndKind.NotConnected || end.kind === ForwardEndKind.Refused;
		if (!isNotRun && !isRepeatAllowed(run)) {
			run.fail(end.error);
			return;
		}
		if (!isNotRun) {
			run.markInterrupted();
			run.lifecycle.send(isAnswering(run) ? RequestEvent.Interrupt : RequestEvent.Retry);
		}
		if (this.refuseKey(run)) {
			return;
		}
		if (!this.isLocalRegionAllowed(run) || this.context.isCut(run.call.head.service)) {
			this.serveElsewhere(run, triedEntries, end.error);
			return;
		}
		const runner = this.context.getRunner(run.call.head.service);
		const isUnmatchedHere =
			run.findRequiredVersion() !== undefined && !runner.hasTarget(createSchedulable(run));
		const mayLeave = isAllowedToLeave(run) && this.isForwardable(run, triedEntries);
		if ((isUnmatchedHere || !isNotRun) && mayLeave && this.startSendAway(run, triedEntries)) {
			return;
		}
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submitReturned(run);
	}

	async forward(run: RequestRun, way: ForwardRoute): Promise<ForwardEnd> {
		if (this.refuseKey(run)) {
			return unsentForward;
		}
		const isCountingAttempts = this.context.isCountingAttempts(way.to);
		const forward = new ForwardRun(run, way, this.context.describeSender(), isCountingAttempts, this.timers);
		run.setAbandonHandler(() => {
			forward.abandon();
			run.abandon();
		});
		const end = await forward.forward();
		const reason = end.error === undefined ? `${end.receivedBytes} bytes received` : end.error.detail;
		run.note(JournalStep.ForwardEnded, `${way.to}: ${end.kind}; ${reason}`);
		return end;
	}
}

/** Whether the entry reported that a target failed, so that the entry itself is sound. */
function isTargetFailure({ error, isReported }: ForwardEnd): boolean {
	return isReported && error !== undefined && targetErrors.has(error.kind);
}

/** Whether the entry reported that its targets may not run this one request. It serves others. */
function isVersionFault({ error }: ForwardEnd): boolean {
	return error !== undefined && versionErrors.has(error.kind);
}

function toRemoteEnd(end: ForwardEnd): RemoteEnd {
	if (end.kind === ForwardEndKind.Answered || end.kind === ForwardEndKind.Unconfirmed) {
		return RemoteEnd.Answered;
	}
	return isTargetFailure(end) || isVersionFault(end) ? RemoteEnd.TargetFailed : RemoteEnd.Failed;
}

/** Whether the request may be forwarded to another region. */
function isAllowedToLeave({ call }: RequestRun): boolean {
	return call.plan.homeRegion === undefined && call.origin === undefined;
}

/** Whether a request that may have run at another entry may run again. A started answer must be resumable. */
function isRepeatAllowed(run: RequestRun): boolean {
	const { plan, head } = run.call;
	const isRepeatable = plan.repeat === RepeatRule.Idempotent;
	const mayGoOn = !run.hasBegun() || (run.isResumable() && run.isContinuable());
	const { attempts = Number.POSITIVE_INFINITY } = head.routed?.route ?? {};
	return isRepeatable && mayGoOn && run.history.possibleRuns < attempts && run.getRemainingMs() > 0;
}

function describeUnknownStream(stream: StreamId | undefined): string {
	return stream === undefined
		? 'the caller names no stream, and the store has not shown one version alone lately'
		: 'no entry that answered in time knows the stream';
}

function createUnreachableError(): RequestError {
	return createRequestError(ErrorKind.PeerUnreachable, 'no known entry in the regions allowed to answer', {
		retryAfterMs: unreachableRetryAfterMs,
	});
}
