/**
 * Decides where a call with a ticket goes from the entry that received it. Only the boot that issued the
 * ticket may dispatch the call. Any other entry has no record of whether an earlier copy ran, so the outcome
 * of its refusals is always `unknown`, and it never runs the call itself, even when the issuer is
 * permanently gone.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { InstanceId, RegionName } from '../../../core/ids/common/ids';
import type { InstanceBoot, Ticket } from './ticket';

/** The boot and the region of an entry. */
export interface EntryIdentity {
	readonly own: InstanceBoot;
	readonly region: RegionName;
}

/** Looks up the entries that are listed in the fleet view. */
export interface IEntryDirectory {
	findEntry(instance: InstanceId): EntryIdentity | undefined;
}

/** The possible decisions for a call with a ticket. */
export enum TicketRouteKind {
	/** This boot issued the ticket, and its ledger decides. */
	Own = 'own',
	/** Forward the call to the entry that issued it. */
	Forward = 'forward',
	Refuse = 'refuse',
}

export type TicketRoute =
	| { readonly kind: TicketRouteKind.Own }
	| { readonly kind: TicketRouteKind.Forward; readonly to: InstanceId }
	| { readonly kind: TicketRouteKind.Refuse; readonly error: RequestError };

/** The same error with the outcome `unknown`, for refusals by an entry that did not issue the ticket. */
export function withUnknownOutcome(error: RequestError): RequestError {
	return { ...error, isOutcomeUnknown: true };
}

function refuseIssuerGone(detail: string): TicketRoute {
	return {
		kind: TicketRouteKind.Refuse,
		error: createRequestError(ErrorKind.TicketIssuerGone, detail, { isOutcomeUnknown: true }),
	};
}

/** Whether both are the same boot of the same instance. */
export function isSameBoot(left: InstanceBoot, right: InstanceBoot): boolean {
	return left.instance === right.instance && left.boot === right.boot;
}

/**
 * Decides where a call goes that a caller or another entry sent here. A forwarded call is refused unless
 * this boot issued its ticket, because a call is forwarded only once. It does not matter whether the fleet
 * view lists an earlier or later boot of the issuer, because the issuer compares the boot again.
 */
export function decideTicketRoute(
	ticket: Ticket,
	localEntry: EntryIdentity,
	directory: IEntryDirectory,
	isForwarded: boolean,
): TicketRoute {
	const { instance, boot } = ticket.issuer;
	if (isSameBoot(ticket.issuer, localEntry.own)) {
		return { kind: TicketRouteKind.Own };
	}
	if (instance === localEntry.own.instance) {
		return refuseIssuerGone(`${instance} restarted after boot ${boot}`);
	}
	if (isForwarded) {
		return refuseIssuerGone(`forwarded to ${localEntry.own.instance}, which is not the issuer ${instance}`);
	}
	const issuer = directory.findEntry(instance);
	if (issuer === undefined) {
		return refuseIssuerGone(`${instance} is not in the fleet view`);
	}
	if (issuer.region !== localEntry.region) {
		return refuseIssuerGone(`${instance} is in ${issuer.region}, this entry is in ${localEntry.region}`);
	}
	return { kind: TicketRouteKind.Forward, to: instance };
}
