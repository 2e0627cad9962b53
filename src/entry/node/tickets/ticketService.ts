/**
 * Everything this entry does with tickets: hands out its own, reads those that come back, and decides with
 * the ledger what a send gets. It joins the pure parts with the hash of a call's body.
 */

import { createHash } from 'node:crypto';
import type { Result } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import type { Fingerprint } from '../../../core/ids/common/ids';
import { TicketResult } from '../../../core/telemetry/common/entryMetricLabels';
import type { AtMostOnceLedger, ReceiveDecision } from '../../common/atMostOnce/atMostOnceLedger';
import { ReceiveKind } from '../../common/atMostOnce/atMostOnceLedger';
import { encodeCallIdentity } from '../../common/atMostOnce/callFingerprint';
import type { ITicketSigner } from '../../common/tickets/ticket';
import { parseTicket } from '../../common/tickets/ticket';
import type { TicketIssuer } from '../../common/tickets/ticketIssuer';
import type { IEntryDirectory, EntryIdentity, TicketRoute } from '../../common/tickets/ticketRoute';
import { isSameBoot, withUnknownOutcome, decideTicketRoute } from '../../common/tickets/ticketRoute';
import type { AcceptedCall } from '../requests/requestRun';

/** What a send that carried a ticket is told when it was refused unread, and what became of the ticket. */
export interface UnreadRefusal {
	readonly error: RequestError;
	readonly result: TicketResult;
}

/** The ticket work of one start of one entry. */
export class TicketService {
	constructor(
		private readonly own: EntryIdentity,
		private readonly signer: ITicketSigner,
		private readonly issuer: TicketIssuer,
		private readonly ledger: AtMostOnceLedger,
		private readonly directory: IEntryDirectory,
	) {}

	issueBatch(count: number, nowMs: number): readonly string[] {
		return this.issuer.issueBatch(count, nowMs);
	}

	/** Whether this boot issued the ticket; false for one that cannot be read. */
	isOwn(ticketText: string): boolean {
		return parseTicket(ticketText, this.signer)
			.map(ticket => isSameBoot(ticket.issuer, this.own.own))
			.unwrapOr(false);
	}

	countSpent(): number {
		return this.ledger.countSpent();
	}

	/** Where a ticketed call goes; a forged ticket goes nowhere. */
	findRoute(ticketText: string, isForwarded: boolean): Result<TicketRoute, RequestError> {
		return parseTicket(ticketText, this.signer).map(ticket =>
			decideTicketRoute(ticket, this.own, this.directory, isForwarded),
		);
	}

	/** Takes in a ticket of this boot with the call it came with. */
	receive(ticketText: string, call: AcceptedCall, nowMs: number): ReceiveDecision {
		const ticket = parseTicket(ticketText, this.signer);
		if (ticket.isErr()) {
			return { kind: ReceiveKind.Refuse, error: ticket.error };
		}
		return this.ledger.receive(ticket.value, createCallFingerprint(call), nowMs);
	}

	/**
	 * Refuses a send that carries a ticket before its body was read, and gives the fault as the caller may
	 * be told it: an earlier copy of the same call may have run, or may still be on its way.
	 */
	refuseUnread(ticketText: string, error: RequestError, nowMs: number): UnreadRefusal {
		const ticket = parseTicket(ticketText, this.signer);
		if (ticket.isErr()) {
			return { error, result: TicketResult.Rejected };
		}
		if (!isSameBoot(ticket.value.issuer, this.own.own)) {
			return { error: withUnknownOutcome(error), result: TicketResult.Rejected };
		}
		const told = this.ledger.refuseUnreadCall(ticket.value, error, nowMs);
		const isUnrun = getOutcomeOf(told) === Outcome.NotRun;
		return { error: told, result: isUnrun ? TicketResult.Refused : TicketResult.Rejected };
	}
}

function createCallFingerprint(call: AcceptedCall): Fingerprint {
	const { service, organisation, method, path } = call.head;
	return createHash('sha256')
		.update(encodeCallIdentity({ service, organisation, method, path }))
		.update(call.body)
		.digest('hex') as Fingerprint;
}
