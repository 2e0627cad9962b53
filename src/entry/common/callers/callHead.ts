/**
 * Parses the head of a caller's request into a typed call. Every request that can be refused by its head
 * alone is refused here, before any byte of the body is read.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { headers } from '../../../core/headers/common/headers';
import type { KeyDigest, OrganisationName, ServiceName, StreamId } from '../../../core/ids/common/ids';
import type { ManifestRoute } from '../../../core/manifest/common/routes';
import { findRequestClass, RequestClass, requestClasses } from '../../../core/requests/common/requestClass';
import type { PromptShape } from '../prompts/promptShape';

/** One header line. A name may occur more than once in a head. */
export interface HeaderLine {
	readonly name: string;
	readonly value: string;
}

/** The parsed head of a caller's request. */
export interface CallHead {
	readonly service: ServiceName;
	readonly organisation: OrganisationName;
	/** The digest of the key that the request came with, if the manifest requires keys and the caller sent one. */
	readonly keyDigest?: KeyDigest;
	readonly requestClass: RequestClass;
	readonly method: string;
	/** Path and query below the service prefix. */
	readonly path: string;
	/** Time limit in milliseconds, or undefined where the default of the request class applies. */
	readonly deadlineMs: number | undefined;
	readonly prefixKey: string | undefined;
	readonly ticket: string | undefined;
	/** The header lines that are forwarded to the target. */
	readonly forwardedLines: readonly HeaderLine[];
	/** Set where the request is matched by host and path. Undefined where the caller names the service. */
	readonly routed?: RoutedCall;
}

/** The parts of a head that exist only in a call matched by host and path. */
export interface RoutedCall {
	readonly route: ManifestRoute;
	/** Urgency from the priorities of the organisation and the route; 0 is the most urgent. */
	readonly priority: number;
	/** The priority of the organisation, if it has one. */
	readonly organisationPriority?: number;
	/** The host as the caller sent it. */
	readonly host: string;
	/** The request id that the caller sent. */
	readonly callerRequestId: string;
	/** The description of the prompt that the caller sent, if any. */
	readonly prompt: PromptShape | undefined;
	/** The id of the last event that the caller received, where it resumes a stream. */
	readonly lastEventId: string | undefined;
	/** The stream that the caller resumes, if it named one. */
	readonly resumes: StreamId | undefined;
}

/** The head as read by the HTTP server, with header names in lower case. */
export interface RawHead {
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly url: string;
	readonly lines: readonly HeaderLine[];
	/** Set for a request that another entry forwarded, in place of the header with the caller's key. */
	readonly forwardedKey?: ForwardedKey;
}

/** What another entry says of the key of a request that it forwarded. */
export interface ForwardedKey {
	/** Undefined if the request has no key. */
	readonly digest: KeyDigest | undefined;
}

/** The organisation of a request, and how it was identified. */
export type CallerIdentity = Pick<CallHead, 'organisation' | 'keyDigest'>;

/** Finds the organisation of a request to a service. */
export type ResolveIdentity = (raw: RawHead, service: ServiceName) => Result<CallerIdentity, RequestError>;

const servicesPrefix = '/v1/services/';
const maxDeadlineMs = 3_600_000;
const maxPrefixKeyLength = 256;

/** Headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'expect',
	'content-length',
]);

/** Headers that the entry sets itself on each attempt. A caller's values must not reach a target. */
const entryHeaders = new Set<string>(Object.values(headers));

/** Removes the hop-by-hop headers, also those that the `connection` header names. */
export function listEndToEndLines(lines: readonly HeaderLine[]): HeaderLine[] {
	const named = findHeader(lines, 'connection')?.toLowerCase().split(',') ?? [];
	const nominated = new Set(named.map(name => name.trim()));
	return lines.filter(({ name }) => !hopByHopHeaders.has(name) && !nominated.has(name));
}

/** Removes the hop-by-hop headers and the headers that the entry sets itself. */
export function listForwardedLines(lines: readonly HeaderLine[]): HeaderLine[] {
	return listEndToEndLines(lines).filter(({ name }) => !entryHeaders.has(name));
}

/** The first value of a header, or undefined. */
export function findHeader(lines: readonly HeaderLine[], name: string): string | undefined {
	return lines.find(line => line.name === name)?.value;
}

/** Returns the organisation that the caller names. */
export function readNamedOrganisation(raw: RawHead): Result<CallerIdentity, RequestError> {
	const organisation = findHeader(raw.lines, headers.organisation);
	if (organisation === undefined || organisation === '') {
		return err(createRequestError(ErrorKind.OrganisationMissing, headers.organisation));
	}
	return ok({ organisation: organisation as OrganisationName });
}

/** Parses a head, or returns the first error in it. */
export function parseCallHead(
	raw: RawHead,
	resolveIdentity: ResolveIdentity = readNamedOrganisation,
): Result<CallHead, RequestError> {
	const route = parseRoute(raw.url);
	if (route === undefined) {
		return err(createRequestError(ErrorKind.UnknownRoute, `no route matches ${raw.method} ${raw.url}`));
	}
	const identity = resolveIdentity(raw, route.service);
	if (identity.isErr()) {
		return err(identity.error);
	}
	const requestClass = parseClass(findHeader(raw.lines, headers.requestClass));
	if (requestClass === undefined) {
		return err(createRequestError(ErrorKind.MalformedClass, requestClasses.join(', ')));
	}
	const deadlineMs = parseDeadline(findHeader(raw.lines, headers.deadlineMs));
	if (Number.isNaN(deadlineMs)) {
		return err(createRequestError(ErrorKind.MalformedDeadline, `must be 1 to ${maxDeadlineMs} ms`));
	}
	const prefixKey = findHeader(raw.lines, headers.prefixKey);
	if (prefixKey !== undefined && prefixKey.length > maxPrefixKeyLength) {
		return err(
			createRequestError(
				ErrorKind.MalformedHeader,
				`${headers.prefixKey}: must have at most ${maxPrefixKeyLength} characters`,
			),
		);
	}
	return ok({
		...route,
		...identity.value,
		requestClass,
		method: raw.method,
		deadlineMs,
		prefixKey,
		ticket: findHeader(raw.lines, headers.ticket),
		forwardedLines: listForwardedLines(raw.lines),
	});
}

function parseRoute(url: string): Pick<CallHead, 'service' | 'path'> | undefined {
	if (!url.startsWith(servicesPrefix)) {
		return undefined;
	}
	const rest = url.slice(servicesPrefix.length);
	const nameEnd = rest.search(/[/?]/);
	const name = nameEnd < 0 ? rest : rest.slice(0, nameEnd);
	const below = nameEnd < 0 ? '' : rest.slice(nameEnd);
	if (name === '') {
		return undefined;
	}
	return { service: name as ServiceName, path: below.startsWith('/') ? below : `/${below}` };
}

function parseClass(text: string | undefined): RequestClass | undefined {
	if (text === undefined) {
		return RequestClass.Normal;
	}
	return findRequestClass(text);
}

/** Returns milliseconds, undefined where the header is missing, or `NaN` where its value is invalid. */
export function parseDeadline(text: string | undefined): number | undefined {
	if (text === undefined) {
		return undefined;
	}
	const value = /^\d{1,7}$/.test(text) ? Number(text) : Number.NaN;
	return value >= 1 && value <= maxDeadlineMs ? value : Number.NaN;
}
