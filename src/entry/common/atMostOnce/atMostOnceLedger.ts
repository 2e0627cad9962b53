/**
 * The in-memory record of used tickets, held by the entry that issued them. A ticket is a signed single-use
 * token, and its record makes a call such as a payment run at most once even when the caller resends it, the
 * network duplicates or delays it, or entries restart.
 *
 * - A ticket number is recorded when the ticket is first presented, before the call is dispatched. If it
 *   were recorded after the dispatch, two copies that arrive together would both run.
 * - A run that ended `not-run` leaves its ticket spent. The caller was told that nothing ran and may pay by
 *   other means, so a copy that is still in flight must get the same refusal. A new try needs a new ticket.
 * - Ticket numbers are unique within one boot only. A restart loses all records, so every ticket of an
 *   earlier boot is answered `unknown`. With the number alone as the key, an old ticket would be taken for a
 *   new one and its call would run again.
 * - A record is deleted when its ticket expires, because from then on the expiry check alone refuses the
 *   ticket. Expiry is measured on the issuer's own monotonic clock, which keeps advancing while the process
 *   is suspended.
 */

import { Heap } from 'heap-js';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { Fingerprint } from '../../../core/ids/common/ids';
import type { InstanceBoot, Ticket } from '../tickets/ticket';
import { isSameBoot } from '../tickets/ticketRoute';
import { AnswerCache } from './answerCache';
import type { CachedAnswer, RunResult } from './ticketRun';
import { RunResultKind, TicketRun } from './ticketRun';

/** Limits on the memory that the ledger uses. */
export interface LedgerLimits {
	/** Total bytes of cached answers. */
	readonly maxAnswerBytes: number;
	/** Number of spent tickets that are recorded at the same time. */
	readonly maxTickets: number;
}

/** What to do with a call that carries a ticket. */
export enum ReceiveKind {
	/** The ticket is presented for the first time. Run the call, and end the run whatever happens. */
	Run = 'run',
	/** The same call is already running. Wait for its result. */
	Join = 'join',
	/** The same call was already answered. Send the cached answer. */
	Replay = 'replay',
	/** Answer with the error, and do not run the call. */
	Refuse = 'refuse',
}

export type ReceiveDecision =
	| { readonly kind: ReceiveKind.Run; readonly run: TicketRun }
	| { readonly kind: ReceiveKind.Join; readonly run: TicketRun }
	| { readonly kind: ReceiveKind.Replay; readonly answer: CachedAnswer }
	| { readonly kind: ReceiveKind.Refuse; readonly error: RequestError };

/** Decides what happens to calls whose tickets were issued by this boot. */
export interface IAtMostOnceLedger {
	receive(ticket: Ticket, fingerprint: Fingerprint | undefined, nowMs: number): ReceiveDecision;
	refuseUnreadCall(ticket: Ticket, error: RequestError, nowMs: number): RequestError;
}

interface SpentTicket {
	readonly number: number;
	readonly expiresMs: number;
	readonly fingerprint: Fingerprint | undefined;
	/**
	 * Undefined once the run has ended. An ended run references its answer and would keep the answer's bytes
	 * in memory beyond the limit of the answer cache.
	 */
	run: TicketRun | undefined;
	/** The error of a run that failed. */
	error: RequestError | undefined;
}

function refuse(kind: ErrorKind, detail: string): ReceiveDecision {
	return { kind: ReceiveKind.Refuse, error: createRequestError(kind, detail) };
}

function isSameCall(left: Fingerprint | undefined, right: Fingerprint | undefined): boolean {
	return left === undefined || right === undefined || left === right;
}

/** The ledger of one boot, in memory only. */
export class AtMostOnceLedger implements IAtMostOnceLedger {
	private readonly spent = new Map<number, SpentTicket>();
	private readonly byExpiry = new Heap<SpentTicket>((left, right) => left.expiresMs - right.expiresMs);
	private readonly answerCache: AnswerCache;

	constructor(
		private readonly own: InstanceBoot,
		private readonly limits: LedgerLimits,
	) {
		this.answerCache = new AnswerCache(limits.maxAnswerBytes);
	}

	/**
	 * Decides what happens to a call that carries this ticket. The first presentation spends the ticket. The
	 * fingerprint is undefined where the body was not read, and then matches every fingerprint.
	 */
	receive(ticket: Ticket, fingerprint: Fingerprint | undefined, nowMs: number): ReceiveDecision {
		this.expire(nowMs);
		if (!isSameBoot(ticket.issuer, this.own)) {
			return refuse(ErrorKind.TicketIssuerGone, `the ticket was issued by boot ${ticket.issuer.boot}`);
		}
		if (ticket.expiresMs <= nowMs) {
			return refuse(
				ErrorKind.TicketExpired,
				`the ticket expired ${Math.ceil(nowMs - ticket.expiresMs)} ms ago`,
			);
		}
		const spent = this.spent.get(ticket.number);
		return spent === undefined
			? this.spend(ticket, fingerprint, nowMs)
			: this.answerDuplicate(spent, fingerprint);
	}

	/**
	 * Refuses a call whose body was not read, so that its fingerprint is not known, and returns the error to
	 * send to the caller. An unused ticket is spent. Otherwise a copy that is still in flight would run after
	 * the caller was told `not-run`. Where an earlier copy may have run, the outcome of the error is `unknown`.
	 *
	 * Do not use it for a body that was cut off: the caller has disconnected and gets no answer, and its resend
	 * should be able to run.
	 */
	refuseUnreadCall(ticket: Ticket, error: RequestError, nowMs: number): RequestError {
		const decision = this.receive(ticket, undefined, nowMs);
		if (decision.kind === ReceiveKind.Run) {
			decision.run.end({ kind: RunResultKind.Failed, error });
			return error;
		}
		const isNotRun = decision.kind === ReceiveKind.Refuse && getOutcomeOf(decision.error) === Outcome.NotRun;
		return isNotRun ? error : { ...error, isOutcomeUnknown: true };
	}

	/** The number of spent tickets in memory. */
	countSpent(): number {
		return this.spent.size;
	}

	/** Total bytes of cached answers. */
	countAnswerBytes(): number {
		return this.answerCache.countBytes();
	}

	private spend(ticket: Ticket, fingerprint: Fingerprint | undefined, nowMs: number): ReceiveDecision {
		if (this.spent.size >= this.limits.maxTickets) {
			return this.refuseWhenFull(nowMs);
		}
		const { number, expiresMs } = ticket;
		const spent: SpentTicket = { number, expiresMs, fingerprint, run: undefined, error: undefined };
		const run = new TicketRun(result => {
			this.recordResult(spent, result);
		});
		spent.run = run;
		this.spent.set(number, spent);
		this.byExpiry.push(spent);
		return { kind: ReceiveKind.Run, run };
	}

	/** Never `not-run`: the ticket number cannot be recorded, so a copy that arrives later may still run. */
	private refuseWhenFull(nowMs: number): ReceiveDecision {
		const soonestMs = this.byExpiry.peek()?.expiresMs ?? nowMs;
		const error = createRequestError(
			ErrorKind.EntryFull,
			`${this.spent.size} spent tickets are recorded, which is the limit`,
			{
				isOutcomeUnknown: true,
				retryAfterMs: Math.max(0, soonestMs - nowMs),
			},
		);
		return { kind: ReceiveKind.Refuse, error };
	}

	private answerDuplicate(spent: SpentTicket, fingerprint: Fingerprint | undefined): ReceiveDecision {
		if (!isSameCall(spent.fingerprint, fingerprint)) {
			return refuse(ErrorKind.TicketReused, `ticket ${spent.number} was already used for a different call`);
		}
		if (spent.run !== undefined) {
			return { kind: ReceiveKind.Join, run: spent.run };
		}
		if (spent.error !== undefined) {
			return { kind: ReceiveKind.Refuse, error: spent.error };
		}
		const answer = this.answerCache.find(spent.number);
		return answer === undefined
			? refuse(ErrorKind.TicketAnswerGone, `the answer of ticket ${spent.number} is not cached`)
			: { kind: ReceiveKind.Replay, answer };
	}

	private recordResult(spent: SpentTicket, result: RunResult): void {
		spent.run = undefined;
		if (result.kind === RunResultKind.Failed) {
			spent.error = result.error;
			return;
		}
		const isRemembered = this.spent.get(spent.number) === spent;
		if (isRemembered && result.answer !== undefined) {
			this.answerCache.put(spent.number, result.answer);
		}
	}

	private expire(nowMs: number): void {
		for (;;) {
			const oldest = this.byExpiry.peek();
			if (oldest === undefined || oldest.expiresMs > nowMs) {
				return;
			}
			this.byExpiry.pop();
			this.spent.delete(oldest.number);
			this.answerCache.remove(oldest.number);
		}
	}
}
