/**
 * The lookup, with which a caller asks any entry which entries to use for a service. There is no load
 * balancer in front of the entries, so this answer is what distributes callers over them.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { AdvertisedEntry, RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { InstanceId, OrganisationName, ServiceName } from '../../../core/ids/common/ids';

/** The parsed query of a lookup. */
export interface LookupRequest {
	readonly service: ServiceName;
	/** Where given, the answer lists entries of the region that the organisation's requests are bound to. */
	readonly organisation: OrganisationName | undefined;
	/** The entry that the caller has used so far. It stays first in the list while it is a good choice. */
	readonly previous: InstanceId | undefined;
	/** The number of tickets requested, for services with at-most-once calls. */
	readonly tickets: number;
}

/** The answer to a lookup. */
export interface LookupAnswer {
	readonly service: ServiceName;
	/** How long the caller may use this answer, in milliseconds. */
	readonly validForMs: number;
	/** Ordered by preference, best entry first. */
	readonly entries: readonly AdvertisedEntry[];
	/** Each is valid for one at-most-once call, at any entry of the region. */
	readonly tickets: readonly string[];
}

const defaultTicketCount = 4;
const maxTicketCount = 64;

/** Parses the query of a lookup. */
export function parseLookup(url: string): Result<LookupRequest, RequestError> {
	const query = new URLSearchParams(url.includes('?') ? url.slice(url.indexOf('?') + 1) : '');
	const service = query.get('service');
	if (service === null || service === '') {
		return err(createRequestError(ErrorKind.UnknownService, 'the query parameter service is missing'));
	}
	const tickets = parseTicketCount(query.get('tickets'));
	if (tickets === undefined) {
		return err(createRequestError(ErrorKind.MalformedHeader, `tickets: must be 0 to ${maxTicketCount}`));
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
		return defaultTicketCount;
	}
	const count = /^\d{1,3}$/.test(text) ? Number(text) : Number.NaN;
	return count <= maxTicketCount ? count : undefined;
}
