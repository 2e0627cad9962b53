/**
 * Issues the tickets of this entry, verifies tickets that calls carry, and uses the ledger to decide how each call is
 * handled. It connects the modules without I/O to the hash of a call's body.
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

/** The error returned for a call with a ticket that was refused before its body was read, and the ticket's result. */
export interface UnreadCallRefusal {
	readonly error: RequestError;
	readonly result: TicketResult;
}

/** Handles tickets for one process start of an entry. */
export class TicketService {
	constructor(
		private readonly localEntry: EntryIdentity,
		private readonly signer: ITicketSigner,
		private readonly issuer: TicketIssuer,
		private readonly ledger: AtMostOnceLedger,
		private readonly directory: IEntryDirectory,
	) {}

	issueBatch(count: number, nowMs: number): readonly string[] {
		return this.issuer.issueBatch(count, nowMs);
	}

	/** Whether this process issued the ticket; false if the ticket is invalid. */
	isOwn(ticketText: string): boolean {
		return parseTicket(ticketText, this.signer)
			.map(ticket => isSameBoot(ticket.issuer, this.localEntry.own))
			.unwrapOr(false);
	}

	countUsedTickets(): number {
		return this.ledger.countSpent();
	}

	/** Finds the entry that must handle a call with a ticket; an error if the ticket is invalid. */
	findRoute(ticketText: string, isForwarded: boolean): Result<TicketRoute, RequestError> {
		return parseTicket(ticketText, this.signer).map(ticket =>
			decideTicketRoute(ticket, this.localEntry, this.directory, isForwarded),
		);
	}

	/** Records the call that carries a ticket of this process, and decides how it is handled. */
	receive(ticketText: string, call: AcceptedCall, nowMs: number): ReceiveDecision {
		const ticket = parseTicket(ticketText, this.signer);
		if (ticket.isErr()) {
			return { kind: ReceiveKind.Refuse, error: ticket.error };
		}
		return this.ledger.receive(ticket.value, createCallFingerprint(call), nowMs);
	}

	/**
	 * Refuses a call with a ticket before its body is read. The returned error states the outcome with regard to
	 * earlier copies of the same call, which may have run or may still arrive.
	 */
	refuseUnreadCall(ticketText: string, error: RequestError, nowMs: number): UnreadCallRefusal {
		const ticket = parseTicket(ticketText, this.signer);
		if (ticket.isErr()) {
			return { error, result: TicketResult.Rejected };
		}
		if (!isSameBoot(ticket.value.issuer, this.localEntry.own)) {
			return { error: withUnknownOutcome(error), result: TicketResult.Rejected };
		}
		const reported = this.ledger.refuseUnreadCall(ticket.value, error, nowMs);
		const isNotRun = getOutcomeOf(reported) === Outcome.NotRun;
		return { error: reported, result: isNotRun ? TicketResult.Refused : TicketResult.Rejected };
	}
}

function createCallFingerprint(call: AcceptedCall): Fingerprint {
	const { service, organisation, method, path } = call.head;
	return createHash('sha256')
		.update(encodeCallIdentity({ service, organisation, method, path }))
		.update(call.body)
		.digest('hex') as Fingerprint;
}
