/**
 * Where an accepted request goes: to the targets of this entry's region, to another region, or, with a
 * ticket, to the entry that issued it. A request that another entry forwarded here is served or refused
 * here; nothing is forwarded twice.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../platform/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../platform/errors/common/errorKinds';
import { Outcome } from '../../../platform/errors/common/outcome';
import type { InstanceId, RegionName, ServiceName } from '../../../platform/ids/common/ids';
import { RepeatRule, UnticketedRule } from '../../../platform/manifest/common/manifest';
import { TicketResult } from '../../../platform/telemetry/common/entryMetricLabels';
import type { KeptAnswer, RunEnd, TicketRun } from '../../common/atMostOnce/ticketRun';
import { RunEndKind } from '../../common/atMostOnce/ticketRun';
import { ReceiveKind } from '../../common/atMostOnce/atMostOnceLedger';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { RequestEvent } from '../../common/requests/requestLife';
import type { ISendAwayPolicy, RemoteOffer } from '../../common/sendAway/sendAwayPolicy';
import { TicketRouteKind } from '../../common/tickets/ticketRoute';
import type { ForwardEnd } from '../peers/forwardRun';
import { ForwardEndKind, ForwardRun } from '../peers/forwardRun';
import type { ForwardSender } from '../peers/forwardRun';
import type { PeerConnection } from '../peers/peerClients';
import type { TicketDesk } from '../tickets/ticketDesk';
import type { RefusedCall } from './activeRuns';
import { RecordingSink } from './recordingSink';
import type { AcceptedCall, RequestRun } from './requestRun';
import type { ServiceRunner } from './serviceRunner';
import { createSchedulable } from './serviceRunner';

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
	noteTicket(result: TicketResult): void;
	recordRefused(call: RefusedCall, error: RequestError): void;
}

/** Sends each accepted request on its way. */
export class RequestRouter {
	constructor(
		private readonly surroundings: IRouterSurroundings,
		private readonly tickets: TicketDesk,
		private readonly timers: ITimerService,
	) {}

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
			this.takeTicketed(call, ticket, sink, freshRefusal);
			return;
		}
		const run = this.openRun(call, sink);
		if (call.plan.unticketed === UnticketedRule.Refuse) {
			run.fail(createRequestError(ErrorKind.TicketMissing, `${call.head.method} ${call.head.path}`));
			return;
		}
		this.takeFree(run);
	}

	private openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun {
		const run = this.surroundings.openRun(call, sink);
		run.life.send(RequestEvent.AcceptHead);
		return run;
	}

	// #region requests that may go anywhere their plan allows

	private takeFree(run: RequestRun): void {
		const { plan, origin, head } = run.call;
		const mayLeaveRegion = plan.homeRegion === undefined && origin === undefined;
		if (mayLeaveRegion) {
			const runner = this.surroundings.getRunner(head.service);
			const request = createSchedulable(run);
			const question = {
				request,
				localRoom: runner.measureRoom(request),
				offers: this.surroundings.listOffers(head.service),
				isUnservedHere: !runner.hasTarget(),
			};
			const policy = this.surroundings.getSendAwayPolicy(head.service);
			const answer = policy.decide(question, this.timers.getNow());
			const peer = answer.sendTo === undefined ? undefined : this.surroundings.findPeer(answer.sendTo);
			if (answer.sendTo !== undefined && peer !== undefined) {
				void this.sendAway(run, answer.sendTo, peer);
				return;
			}
		}
		this.submitHere(run);
	}

	private submitHere(run: RequestRun): void {
		const runner = this.surroundings.getRunner(run.call.head.service);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submit(run);
	}

	private async sendAway(run: RequestRun, to: InstanceId, peer: PeerConnection): Promise<void> {
		const startedMs = this.timers.getNow();
		const service = run.call.head.service;
		const end = await this.forward(run, to, peer);
		const tookMs = this.timers.getNow() - startedMs;
		const isAnswered = end.kind === ForwardEndKind.Answered;
		const policy = this.surroundings.getSendAwayPolicy(service);
		policy.noteEnd(to, isAnswered, tookMs, end.sentBytes + end.receivedBytes, this.timers.getNow());
		this.followForward(run, end);
	}

	/** A request that did not run elsewhere, or may be repeated, gets its chance at home. */
	private followForward(run: RequestRun, end: ForwardEnd): void {
		if (run.hasEnded() || end.error === undefined) {
			return;
		}
		const isUnrun = end.kind === ForwardEndKind.NotConnected || end.kind === ForwardEndKind.Refused;
		const isRepeatable = run.call.plan.repeat === RepeatRule.Idempotent;
		const mayRepeat = isRepeatable && !run.hasBegun() && run.getRemainingMs() > 0;
		if (!isUnrun && !mayRepeat) {
			run.fail(end.error);
			return;
		}
		if (!isUnrun) {
			run.life.send(RequestEvent.Retry);
		}
		const runner = this.surroundings.getRunner(run.call.head.service);
		run.setAbandonHandler(() => {
			runner.abandon(run);
		});
		runner.submitReturned(run);
	}

	private async forward(run: RequestRun, to: InstanceId, peer: PeerConnection): Promise<ForwardEnd> {
		const forward = new ForwardRun(run, to, peer, this.surroundings.describeSender());
		run.setAbandonHandler(() => {
			forward.abandon();
			run.abandon();
		});
		const end = await forward.forward();
		const region = this.surroundings.findRegion(to);
		if (region !== undefined) {
			this.surroundings.noteForwardEnd(run.call.head.service, region, end);
		}
		return end;
	}

	// #endregion

	// #region calls with a ticket

	private takeTicketed(
		call: AcceptedCall,
		ticketText: string,
		sink: IAnswerSink,
		freshRefusal: RequestError | undefined,
	): void {
		const route = this.tickets.findRoute(ticketText, call.origin !== undefined);
		if (route.isErr()) {
			this.surroundings.noteTicket(TicketResult.Rejected);
			this.openRun(call, sink).fail(route.error);
			return;
		}
		switch (route.value.kind) {
			case TicketRouteKind.Own:
				this.receiveTicket(call, ticketText, sink, freshRefusal);
				return;
			case TicketRouteKind.Forward:
				void this.sendToIssuer(this.openRun(call, sink), route.value.to);
				return;
			case TicketRouteKind.Refuse:
				this.surroundings.noteTicket(TicketResult.Rejected);
				this.openRun(call, sink).fail(route.value.error);
				return;
		}
	}

	private receiveTicket(
		call: AcceptedCall,
		ticketText: string,
		sink: IAnswerSink,
		freshRefusal: RequestError | undefined,
	): void {
		const decision = this.tickets.receive(ticketText, call, this.timers.getNow());
		switch (decision.kind) {
			case ReceiveKind.Run:
				this.runTicketed(call, decision.run, sink, freshRefusal);
				return;
			case ReceiveKind.Join:
				this.surroundings.noteTicket(TicketResult.Joined);
				this.join(this.openRun(call, sink), decision.run);
				return;
			case ReceiveKind.Replay: {
				this.surroundings.noteTicket(TicketResult.Replayed);
				const run = this.openRun(call, sink);
				run.life.send(RequestEvent.Replay);
				sendKept(run, decision.answer);
				return;
			}
			case ReceiveKind.Refuse:
				this.surroundings.noteTicket(describeRefusal(decision.error));
				this.openRun(call, sink).fail(decision.error);
				return;
		}
	}

	private runTicketed(
		call: AcceptedCall,
		ticketRun: TicketRun,
		sink: IAnswerSink,
		freshRefusal: RequestError | undefined,
	): void {
		ticketRun.waitForEnd(end => {
			this.surroundings.noteTicket(describeEnd(end));
		});
		const run = this.openRun(call, new RecordingSink(sink, ticketRun));
		if (freshRefusal !== undefined) {
			run.fail(freshRefusal);
			return;
		}
		this.surroundings.getRunner(call.head.service).submit(run);
	}

	private join(run: RequestRun, ticketRun: TicketRun): void {
		run.life.send(RequestEvent.Join);
		const deadline = this.timers.schedule(run.getRemainingMs(), () => {
			run.fail(createRequestError(ErrorKind.DeadlineExceeded, 'an earlier send is still running'));
		});
		const waiting = ticketRun.waitForEnd(end => {
			deadline.dispose();
			endJoined(run, end);
		});
		run.setAbandonHandler(() => {
			deadline.dispose();
			waiting.dispose();
			run.abandon();
		});
	}

	/** Only the issuer can say `not-run` of its tickets; what this entry itself finds is `unknown`. */
	private async sendToIssuer(run: RequestRun, issuer: InstanceId): Promise<void> {
		const peer = this.surroundings.findPeer(issuer);
		this.surroundings.noteTicket(peer === undefined ? TicketResult.Rejected : TicketResult.Forwarded);
		if (peer === undefined) {
			run.fail(createRequestError(ErrorKind.TicketIssuerGone, `${issuer} is not in view`));
			return;
		}
		const end = await this.forward(run, issuer, peer);
		if (end.error === undefined || run.hasEnded()) {
			return;
		}
		const isIssuersWord = end.kind === ForwardEndKind.Refused;
		run.fail(isIssuersWord ? end.error : createIssuerFault(end.error));
	}

	// #endregion
}

const ticketKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.TicketExpired,
	ErrorKind.TicketForged,
	ErrorKind.TicketReused,
	ErrorKind.TicketAnswerGone,
	ErrorKind.TicketIssuerGone,
	ErrorKind.EntryFull,
]);

/** The ledger refuses with a fault of the ticket itself, or gives the refusal of the ticket's one run again. */
function describeRefusal({ kind }: RequestError): TicketResult {
	return ticketKinds.has(kind) ? TicketResult.Rejected : TicketResult.Replayed;
}

function describeEnd(end: RunEnd): TicketResult {
	const isUnrun = end.kind === RunEndKind.Failed && getOutcomeOf(end.error) === Outcome.NotRun;
	return isUnrun ? TicketResult.Refused : TicketResult.Spent;
}

function createIssuerFault(error: RequestError): RequestError {
	const isUnreachable = error.kind === ErrorKind.PeerUnreachable;
	return { ...error, kind: isUnreachable ? ErrorKind.TicketIssuerGone : error.kind, isOutcomeUnknown: true };
}

function endJoined(run: RequestRun, end: RunEnd): void {
	if (run.hasEnded()) {
		return;
	}
	if (end.kind === RunEndKind.Failed) {
		if (getOutcomeOf(end.error) === Outcome.NotRun) {
			run.life.send(RequestEvent.RunRefused);
		}
		run.fail(end.error);
		return;
	}
	if (end.answer === undefined) {
		run.fail(createRequestError(ErrorKind.TicketAnswerGone, 'the answer was too large to be kept'));
		return;
	}
	run.life.send(RequestEvent.FirstByte);
	sendKept(run, end.answer);
}

/** Delivers a kept answer; the request's chart stands at `answering`. */
function sendKept(run: RequestRun, answer: KeptAnswer): void {
	run.beginKept({
		status: answer.status,
		lines: answer.headers.map(([name, value]) => ({ name, value })),
	});
	run.write(answer.body);
	run.finish();
}
