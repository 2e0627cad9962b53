/**
 * Routes calls with a ticket, which makes a request run at most once. The ledger of this entry handles tickets
 * that were issued since the entry started. Calls with other tickets are forwarded to the entry that issued the
 * ticket, or refused. The result of each ticket is counted here.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { InstanceId } from '../../../core/ids/common/ids';
import { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import { ReceiveKind } from '../../common/atMostOnce/atMostOnceLedger';
import type { CachedAnswer, RunResult, TicketRun } from '../../common/atMostOnce/ticketRun';
import { RunResultKind } from '../../common/atMostOnce/ticketRun';
import type { IAnswerSink } from '../../common/callers/answerSink';
import { RequestEvent } from '../../common/requests/requestLifecycle';
import { TicketRouteKind } from '../../common/tickets/ticketRoute';
import type { ForwardEnd, ForwardRoute } from '../peers/forwardRun';
import { ForwardEndKind } from '../peers/forwardRun';
import type { TicketService } from '../tickets/ticketService';
import { RecordingSink } from './recordingSink';
import type { IRouterContext } from './requestRouter';
import type { AcceptedCall, RequestRun } from './requestRun';

/** Creates request runs and forwards them to other entries. */
export interface IRequestForwarder {
	openRun(call: AcceptedCall, sink: IAnswerSink): RequestRun;
	forward(run: RequestRun, way: ForwardRoute): Promise<ForwardEnd>;
}

/** Routes calls with a ticket. */
export class TicketRouter {
	constructor(
		private readonly context: Pick<
			IRouterContext,
			'findPeer' | 'getRunner' | 'isConfirmingKeys' | 'noteTicket'
		>,
		private readonly tickets: TicketService,
		private readonly forwarder: IRequestForwarder,
		private readonly timers: ITimerService,
	) {}

	dispatch(
		call: AcceptedCall,
		ticketText: string,
		sink: IAnswerSink,
		newTicketRefusal: RequestError | undefined,
	): void {
		const route = this.tickets.findRoute(ticketText, call.origin !== undefined);
		if (route.isErr()) {
			this.context.noteTicket(TicketResult.Rejected);
			this.forwarder.openRun(call, sink).fail(route.error);
			return;
		}
		switch (route.value.kind) {
			case TicketRouteKind.Own:
				this.receiveTicket(call, ticketText, sink, newTicketRefusal);
				return;
			case TicketRouteKind.Forward:
				void this.sendToIssuer(this.forwarder.openRun(call, sink), route.value.to);
				return;
			case TicketRouteKind.Refuse:
				this.context.noteTicket(TicketResult.Rejected);
				this.forwarder.openRun(call, sink).fail(route.value.error);
				return;
		}
	}

	private receiveTicket(
		call: AcceptedCall,
		ticketText: string,
		sink: IAnswerSink,
		newTicketRefusal: RequestError | undefined,
	): void {
		const decision = this.tickets.receive(ticketText, call, this.timers.getNow());
		switch (decision.kind) {
			case ReceiveKind.Run:
				this.runTicketed(call, decision.run, sink, newTicketRefusal);
				return;
			case ReceiveKind.Join:
				this.context.noteTicket(TicketResult.Joined);
				this.join(this.forwarder.openRun(call, sink), decision.run);
				return;
			case ReceiveKind.Replay: {
				this.context.noteTicket(TicketResult.Replayed);
				const run = this.forwarder.openRun(call, sink);
				run.lifecycle.send(RequestEvent.Replay);
				sendKeptAnswer(run, decision.answer);
				return;
			}
			case ReceiveKind.Refuse:
				this.context.noteTicket(getRefusalResult(decision.error));
				this.forwarder.openRun(call, sink).fail(decision.error);
				return;
		}
	}

	private runTicketed(
		call: AcceptedCall,
		ticketRun: TicketRun,
		sink: IAnswerSink,
		newTicketRefusal: RequestError | undefined,
	): void {
		ticketRun.waitForEnd(end => {
			this.context.noteTicket(getEndResult(end));
		});
		const run = this.forwarder.openRun(call, new RecordingSink(sink, ticketRun));
		if (newTicketRefusal !== undefined) {
			run.fail(newTicketRefusal);
			return;
		}
		this.context.getRunner(call.head.service).submit(run);
	}

	private join(run: RequestRun, ticketRun: TicketRun): void {
		run.lifecycle.send(RequestEvent.Join);
		const deadline = this.timers.schedule(run.getRemainingMs(), () => {
			run.fail(
				createRequestError(
					ErrorKind.DeadlineExceeded,
					'an earlier request with this ticket is still running',
				),
			);
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

	/** Only the issuer can confirm `not-run` for its tickets; errors found by this entry are `unknown`. */
	private async sendToIssuer(run: RequestRun, issuer: InstanceId): Promise<void> {
		const peer = this.context.findPeer(issuer);
		this.context.noteTicket(peer === undefined ? TicketResult.Rejected : TicketResult.Forwarded);
		if (peer === undefined) {
			run.fail(
				createRequestError(
					ErrorKind.TicketIssuerGone,
					`${issuer}, which issued the ticket, is not a known peer`,
				),
			);
			return;
		}
		if (run.call.head.keyDigest !== undefined && !this.context.isConfirmingKeys(issuer)) {
			const detail = `${issuer}, which issued the ticket, is of an earlier release and confirms no keys`;
			run.fail(createRequestError(ErrorKind.KeyUnconfirmed, detail, { isOutcomeUnknown: true }));
			return;
		}
		const end = await this.forwarder.forward(run, { to: issuer, peer, reason: 'issuer of the ticket' });
		if (end.error === undefined || run.hasEnded()) {
			return;
		}
		const isRefusedByIssuer = end.kind === ForwardEndKind.Refused;
		run.fail(isRefusedByIssuer ? end.error : createIssuerError(end.error));
	}
}

const ticketErrorKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.TicketExpired,
	ErrorKind.TicketForged,
	ErrorKind.TicketReused,
	ErrorKind.TicketAnswerGone,
	ErrorKind.TicketIssuerGone,
	ErrorKind.EntryFull,
]);

/** The ledger refuses a call because of an error of the ticket, or repeats the refusal of its first request. */
function getRefusalResult({ kind }: RequestError): TicketResult {
	return ticketErrorKinds.has(kind) ? TicketResult.Rejected : TicketResult.Replayed;
}

function getEndResult(end: RunResult): TicketResult {
	const isUnrun = end.kind === RunResultKind.Failed && getOutcomeOf(end.error) === Outcome.NotRun;
	return isUnrun ? TicketResult.Refused : TicketResult.Spent;
}

/** Marks an error of forwarding as `unknown`, because the issuer may have run the request. */
function createIssuerError(error: RequestError): RequestError {
	const isUnreachable = error.kind === ErrorKind.PeerUnreachable;
	return { ...error, kind: isUnreachable ? ErrorKind.TicketIssuerGone : error.kind, isOutcomeUnknown: true };
}

function endJoined(run: RequestRun, end: RunResult): void {
	if (run.hasEnded()) {
		return;
	}
	if (end.kind === RunResultKind.Failed) {
		if (getOutcomeOf(end.error) === Outcome.NotRun) {
			run.lifecycle.send(RequestEvent.RunRefused);
		}
		run.fail(end.error);
		return;
	}
	if (end.answer === undefined) {
		run.fail(createRequestError(ErrorKind.TicketAnswerGone, 'the answer was too large to be stored'));
		return;
	}
	run.lifecycle.send(RequestEvent.FirstByte);
	sendKeptAnswer(run, end.answer);
}

/** Sends a stored answer. The request's state machine must be in the state `answering`. */
function sendKeptAnswer(run: RequestRun, answer: CachedAnswer): void {
	run.beginKeptAnswer({
		status: answer.status,
		lines: answer.headers.map(([name, value]) => ({ name, value })),
		endsWithConnection: answer.endsWithConnection,
	});
	run.write(answer.body);
	run.finish();
}
