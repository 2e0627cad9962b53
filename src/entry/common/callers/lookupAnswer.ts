/**
 * The lookup: a caller asks any entry which entries to use for a service. No balancer stands before the
 * entries, so this answer is what spreads callers over them.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { AdvertisedEntry, RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { InstanceId, OrganisationName, ServiceName } from '../../../core/ids/common/ids';

/** What a caller asks. */
export interface LookupQuestion {
	readonly service: ServiceName;
	/** Where given, entries of the region that the organisation's requests are bound to are named. */
	readonly organisation: OrganisationName | undefined;
	/** The entry that the caller has used until now; it is named first again while it is a good choice. */
	readonly previous: InstanceId | undefined;
	/** Tickets wanted, for services with at-most-once calls. */
	readonly tickets: number;
}

/** What it is told. */
export interface LookupAnswer {
	readonly service: ServiceName;
	/** How long the caller may go by this answer, in milliseconds. */
	readonly validForMs: number;
	/** The best entry first. */
	readonly entries: readonly AdvertisedEntry[];
	/** Each good for one at-most-once call, at any entry of the region. */
	readonly tickets: readonly string[];
}

const usualTickets = 4;
const mostTickets = 64;

/** Reads the query of a lookup. */
export function parseLookup(url: string): Result<LookupQuestion, RequestError> {
	const query = new URLSearchParams(url.includes('?') ? url.slice(url.indexOf('?') + 1) : '');
	const service = query.get('service');
	if (service === null || service === '') {
		return err(createRequestError(ErrorKind.UnknownService, 'the query names no service'));
	}
	const tickets = parseTicketCount(query.get('tickets'));
	if (tickets === undefined) {
		return err(createRequestError(ErrorKind.MalformedHeader, `tickets: 0 to ${mostTickets}`));
	}
	return ok({
		service: service as ServiceName,
		organisation: (query.get('organisation') as OrganisationName | null) ?? undefined,
		previous: (query.get('previous') as InstanceId | null) ?? undefined,
		tickets,
	});
}

function parseTicketCount(text: string | null): number | undefined {
	if (text === null) {
		return usualTickets;
	}
	const count = /^\d{1,3}$/.test(text) ? Number(text) : Number.NaN;
	return count <= mostTickets ? count : undefined;
}
