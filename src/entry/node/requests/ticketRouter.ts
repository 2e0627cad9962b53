/**
 * Where a call with a ticket goes: to the ledger where this boot issued the ticket, to the entry that did,
 * or nowhere. What became of each ticket is counted here.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { InstanceId } from '../../../core/ids/common/ids';
import { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import { ReceiveKind } from '../../common/atMostOnce/atMostOnceLedger';
import type { KeptAnswer, RunEnd, TicketRun } from '../../common/atMostOnce/ticketRun';
import { RunEndKind } from '../../common/atMostOnce/ticketRun';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { RequestEvent } from '../../common/requests/requestLife';
import { TicketRouteKind } from '../../common/tickets/ticketRoute';
import type { ForwardEnd, ForwardRoute } from '../peers/forwardRun';
import { ForwardEndKind } from '../peers/forwardRun';
import type { TicketService } from '../tickets/ticketService';
import { RecordingSink } from './recordingSink';
import type { IRouterSurroundings } from './requestRouter';
import type { AcceptedCall, RequestRun } from './requestRun';

/** Opens runs and carries them to other entries. */
export interface ITicketCarrier {
	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun;
	forward(run: RequestRun, way: ForwardRoute): Promise<ForwardEnd>;
}

/** Sends each call with a ticket on its way. */
export class TicketRouter {
	constructor(
		private readonly surroundings: Pick<IRouterSurroundings, 'findPeer' | 'getRunner' | 'noteTicket'>,
		private readonly tickets: TicketService,
		private readonly carrier: ITicketCarrier,
		private readonly timers: ITimerService,
	) {}

	take(
		call: AcceptedCall,
		ticketText: string,
		sink: IAnswerSink,
		freshRefusal: RequestError | undefined,
	): void {
		const route = this.tickets.findRoute(ticketText, call.origin !== undefined);
		if (route.isErr()) {
			this.surroundings.noteTicket(TicketResult.Rejected);
			this.carrier.openRun(call, sink).fail(route.error);
			return;
		}
		switch (route.value.kind) {
			case TicketRouteKind.Own:
				this.receiveTicket(call, ticketText, sink, freshRefusal);
				return;
			case TicketRouteKind.Forward:
				void this.sendToIssuer(this.carrier.openRun(call, sink), route.value.to);
				return;
			case TicketRouteKind.Refuse:
				this.surroundings.noteTicket(TicketResult.Rejected);
				this.carrier.openRun(call, sink).fail(route.value.error);
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
				this.join(this.carrier.openRun(call, sink), decision.run);
				return;
			case ReceiveKind.Replay: {
				this.surroundings.noteTicket(TicketResult.Replayed);
				const run = this.carrier.openRun(call, sink);
				run.life.send(RequestEvent.Replay);
				sendKept(run, decision.answer);
				return;
			}
			case ReceiveKind.Refuse:
				this.surroundings.noteTicket(describeRefusal(decision.error));
				this.carrier.openRun(call, sink).fail(decision.error);
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
		const run = this.carrier.openRun(call, new RecordingSink(sink, ticketRun));
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
		const end = await this.carrier.forward(run, { to: issuer, peer, reason: 'it issued the ticket' });
		if (end.error === undefined || run.hasEnded()) {
			return;
		}
		const isIssuersWord = end.kind === ForwardEndKind.Refused;
		run.fail(isIssuersWord ? end.error : createIssuerFault(end.error));
	}
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
