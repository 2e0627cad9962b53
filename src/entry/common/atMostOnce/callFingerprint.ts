/**
 * Identifies the call that a ticket is bound to. The fingerprint of a call is the hash of the text that is
 * built here, followed by the body. Two requests with one ticket are the same call only if their fingerprints
 * are equal.
 */

import type { OrganisationName, ServiceName } from '../../../core/ids/common/ids';

/** The parts of a call other than its body. */
export interface CallIdentity {
	readonly service: ServiceName;
	readonly organisation: OrganisationName;
	readonly method: string;
	/** Path and query below the service prefix, as sent by the caller. */
	readonly path: string;
}

/**
 * Encodes the parts with delimiters, so that different calls never have the same text. Without delimiters,
 * `/pay` + `1` and `/pay1` would be the same call, and the second caller would get the first caller's answer.
 */
export function encodeCallIdentity(call: CallIdentity): string {
	return `${JSON.stringify([call.service, call.organisation, call.method, call.path])}\n`;
}
