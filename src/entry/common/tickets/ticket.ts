/**
 * Tickets for calls that run at most once. A ticket is a signed single-use token that names the one boot
 * (start of a process) of the one instance that may dispatch the call. Entries share no state, so that
 * instance alone decides whether the call runs. The signature keeps callers from creating or altering
 * tickets: with an altered number, the call of a spent ticket could run again.
 *
 * The format is `1:issuer:boot:number:expiry:check`, where `check` is the signature, in characters that are
 * safe in a header. The expiry is a time on the issuer's own monotonic clock and has no meaning in another
 * process.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { BootId, InstanceId } from '../../../core/ids/common/ids';

/** One start of one instance. */
export interface InstanceBoot {
	readonly instance: InstanceId;
	readonly boot: BootId;
}

/** A ticket whose signature was verified. */
export interface Ticket {
	readonly issuer: InstanceBoot;
	/** A sequence number that starts at 1 in each boot of the issuer. */
	readonly number: number;
	/** Milliseconds on the issuer's monotonic clock. From then on the ticket is refused, used or not. */
	readonly expiresMs: number;
}

/** Signs tickets and verifies their signatures with a secret key. */
export interface ITicketSigner {
	/**
	 * The signature of a text with the current key, in characters that are valid in a header, without a colon.
	 */
	sign(text: string): string;
	/** Whether a signature is valid with the current or the previous key. Runs in constant time. */
	verify(text: string, signature: string): boolean;
}

const formatVersion = '1';
const maxTicketLength = 512;
const ticketPattern =
	/^(1:([a-z0-9.-]+):([A-Za-z0-9_-]+):([1-9]\d{0,15}):(0|[1-9]\d{0,15})):([A-Za-z0-9_-]+)$/;

/**
 * Never `not-run`: during a key rotation, an entry that does not have the new key yet finds the signature of
 * a valid ticket invalid, and an earlier copy of that call may have run at the ticket's issuer.
 */
function refuseTicket(): Result<never, RequestError> {
	const detail = 'the ticket is malformed or its signature is invalid';
	return err(createRequestError(ErrorKind.TicketForged, detail, { isOutcomeUnknown: true }));
}

/** Formats a ticket with its signature. */
export function formatTicket(ticket: Ticket, signer: ITicketSigner): string {
	const { instance, boot } = ticket.issuer;
	const text = [formatVersion, instance, boot, ticket.number, ticket.expiresMs].join(':');
	return `${text}:${signer.sign(text)}`;
}

/** Parses a ticket and verifies its signature. Text that is not in canonical form gives TicketForged. */
export function parseTicket(text: string, signer: ITicketSigner): Result<Ticket, RequestError> {
	const match = text.length > maxTicketLength ? null : ticketPattern.exec(text);
	if (match === null) {
		return refuseTicket();
	}
	const [, signed = '', instance = '', boot = '', number = '', expiresMs = '', signature = ''] = match;
	if (!signer.verify(signed, signature)) {
		return refuseTicket();
	}
	return ok({
		issuer: { instance: instance as InstanceId, boot: boot as BootId },
		number: Number(number),
		expiresMs: Number(expiresMs),
	});
}
