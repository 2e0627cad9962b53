/**
 * Where an accepted request goes: to the targets of this entry's region, to another region, or, with a
 * ticket, to the entry that issued it. A request that another entry forwarded here is served or refused
 * here; nothing is forwarded twice.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { InstanceId, RegionName, ServiceName } from '../../../core/ids/common/ids';
import { RepeatRule, UnticketedRule } from '../../../core/manifest/common/manifest';
import type { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { isAllowedRegion } from '../../common/placement/callPlan';
import { RequestEvent } from '../../common/requests/requestLife';
import type { ISendAwayPolicy, OwnerRegion, RemoteOffer } from '../../common/sendAway/sendAwayPolicy';
import type { ForwardEnd, ForwardRoute } from '../peers/forwardRun';
import { ForwardEndKind, ForwardRun } from '../peers/forwardRun';
import type { ForwardSender } from '../peers/forwardRun';
import type { PeerConnection } from '../peers/peerClients';
import type { TicketService } from '../tickets/ticketService';
import type { RefusedCall } from './activeRuns';
import type { AcceptedCall, RequestRun } from './requestRun';
import type { ServiceRunner } from './serviceRunner';
import { isAnswering } from './attemptEnds';
import { createSchedulable } from './schedulableRequest';
import type { ITicketCarrier } from './ticketRouter';
import { TicketRouter } from './ticketRouter';

/** What the router needs of the entry around it. */
export interface IRouterSurroundings {
	/** The runner of a service that the manifest names. */
	getRunner(service: ServiceName): ServiceRunner;
	getSendAwayPolicy(service: ServiceName): ISendAwayPolicy;
	listOffers(service: ServiceName): readonly RemoteOffer[];
	findPeer(instance: InstanceId): PeerConnection | undefined;
	describeSender(): ForwardSender;
	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun;
	noteForwardEnd(service: ServiceName, region: RegionName, end: ForwardEnd): void;
	findRegion(instance: InstanceId): RegionName | undefined;
	/** Where the shared part of the request's prompt belongs, of the regions that may answer it. */
	findOwnerRegion(run: RequestRun): OwnerRegion | undefined;
	noteTicket(result: TicketResult): void;
	recordRefused(call: RefusedCall, error: RequestError): void;
}

/** Entries of other regions that one request is sent to in turn where it may not be answered here. */
const mostEntriesAsked = 3;

/** When a caller comes back whose request no entry of its regions could be found for, in milliseconds. */
const unreachableReturnMs = 500;

/** Sends each accepted request on its way. */
export class RequestRouter implements ITicketCarrier {
	private readonly tickets: TicketRouter;

	constructor(
		private readonly surroundings: IRouterSurroundings,
		tickets: TicketService,
		private readonly timers: ITimerService,
	) {
		this.tickets = new TicketRouter(surroundings, tickets, this, timers);
	}

	/** Takes note of a request that was refused before its body was whole. */
	recordRefused(call: RefusedCall, error: RequestError): void {
		this.surroundings.recordRefused(call, error);
	}

	/**
	 * Takes a request whose body is whole.
	 *
	 * @param freshRefusal What a call with a fresh ticket is told in place of its run; a ticket already spent
	 * is joined or replayed all the same.
	 */
	take(call: AcceptedCall, sink: IAnswerSink, freshRefusal?: RequestError): void {
		const { ticket } = call.head;
		if (call.plan.repeat === RepeatRule.Idempotent) {
			this.takeFree(this.openRun(call, sink));
			return;
		}
		if (ticket !== undefined) {
			this.tickets.take(call, ticket, sink, freshRefusal);
			return;
		}
		const run = this.openRun(call, sink);
		if (call.plan.unticketed === UnticketedRule.Refuse) {
			run.fail(createRequestError(ErrorKind.TicketMissing, `${call.head.method} ${call.head.path}`));
			return;
		}
		this.takeFree(run);
	}

	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun {
		const run = this.surroundings.openRun(call, sink);
		run.life.send(RequestEvent.AcceptHead);
		return run;
	}

	private takeFree(run: RequestRun): void {
		const { plan, origin } = run.call;
		const mayLeaveRegion = plan.homeRegion === undefined && origin === undefined;
		if (mayLeaveRegion && this.startAway(run, [])) {
			return;
		}
		if (!this.isAllowedHere(run)) {
			run.fail(createUnreachableFault());
			return;
		}
		this.submitHere(run);
	}

	private isAllowedHere(run: RequestRun): boolean {
		return isAllowedRegion(run.call.plan, this.surroundings.describeSender().region);
	}

	/** Sends the request to another region if the policy says so; `tried` entries are not asked again. */
	private startAway(run: RequestRun, tried: readonly InstanceId[]): boolean {
		const { plan, head } = run.call;
		const runner = this.surroundings.getRunner(head.service);
		const request = createSchedulable(run);
		const owner = this.surroundings.findOwnerRegion(run);
		const question = {
			request,
			localRoom: runner.measureRoom(request),
			...(owner === undefined ? {} : { owner }),
			offers: this.surroundings
				.listOffers(head.service)
				.filter(({ instance, region }) => isAllowedRegion(plan, region) && !tried.includes(instance)),
			isUnservedHere: !this.isAllowedHere(run) || !runner.hasTarget(),
		};
		const policy = this.surroundings.getSendAwayPolicy(head.service);
		const answer = policy.decide(question, this.timers.getNow());
		const peer = answer.sendTo === undefined ? undefined : this.surroundings.findPeer(answer.sendTo);
		if (answer.sendTo === undefined || peer === undefined) {
			return false;
		}
		void this.sendAway(run, { to: answer.sendTo, peer, reason: answer.reason }, tried);
		return true;
	}

	private submitHere(run: RequestRun): void {
		const runner = this.surroundings.getRunner(run.call.head.service);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submit(run);
	}

	private async sendAway(run: RequestRun, way: ForwardRoute, tried: readonly InstanceId[]): Promise<void> {
		const { to } = way;
		const startedMs = this.timers.getNow();
		const service = run.call.head.service;
		const end = await this.forward(run, way);
		const tookMs = this.timers.getNow() - startedMs;
		const region = this.surroundings.findRegion(to);
		if (region !== undefined) {
			this.surroundings.noteForwardEnd(service, region, end);
		}
		const isAnswered = end.kind === ForwardEndKind.Answered;
		const policy = this.surroundings.getSendAwayPolicy(service);
		policy.noteEnd(to, isAnswered, tookMs, end.sentBytes + end.receivedBytes, this.timers.getNow());
		this.followForward(run, end, [...tried, to]);
	}

	/** A request that did not run elsewhere, or may be repeated, gets its chance at home. */
	private followForward(run: RequestRun, end: ForwardEnd, tried: readonly InstanceId[]): void {
		if (run.hasEnded() || end.error === undefined) {
			return;
		}
		const isUnrun = end.kind === ForwardEndKind.NotConnected || end.kind === ForwardEndKind.Refused;
		if (!isUnrun && !isRepeatAllowed(run)) {
			run.fail(end.error);
			return;
		}
		if (!isUnrun) {
			run.markInterrupted();
			run.life.send(isAnswering(run) ? RequestEvent.Interrupt : RequestEvent.Retry);
		}
		if (!this.isAllowedHere(run)) {
			const isSent =
				tried.length < mostEntriesAsked && run.getRemainingMs() > 0 && this.startAway(run, tried);
			if (!isSent) {
				run.fail(end.error);
			}
			return;
		}
		const runner = this.surroundings.getRunner(run.call.head.service);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submitReturned(run);
	}

	async forward(run: RequestRun, way: ForwardRoute): Promise<ForwardEnd> {
		const forward = new ForwardRun(run, way, this.surroundings.describeSender(), this.timers);
		run.setAbandonHandler(() => {
			forward.abandon();
			run.abandon();
		});
		return forward.forward();
	}
}

/** Whether a request that may have run elsewhere may run again; of an answer that has begun, only a resumable one. */
function isRepeatAllowed(run: RequestRun): boolean {
	const { plan, head } = run.call;
	const isRepeatable = plan.repeat === RepeatRule.Idempotent;
	const mayGoOn = !run.hasBegun() || head.routed?.route.isResumable === true;
	return isRepeatable && mayGoOn && run.getRemainingMs() > 0;
}

function createUnreachableFault(): RequestError {
	return createRequestError(ErrorKind.PeerUnreachable, 'no entry of the regions that may answer is known', {
		retryAfterMs: unreachableReturnMs,
	});
}
