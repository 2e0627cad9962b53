/**
 * The native HTTP interface for callers, documented in docs/CALLING.md.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { headers } from '../../../core/headers/common/headers';
import type { RequestId, ServiceName } from '../../../core/ids/common/ids';
import type { CallerIdentity, CallHead, HeaderLine, RawHead } from '../callers/callHead';
import { parseCallHead, readNamedOrganisation } from '../callers/callHead';
import type { Refusal } from '../callers/refusal';
import { createRefusal } from '../callers/refusal';
import type { KeyOwner } from '../keys/callerKey';
import { removeKeyLines, resolveKeyOwner } from '../keys/callerKey';
import type { IKeyDigests } from '../keys/keyDigests';
import type { ManifestIndex } from '../placement/manifestIndex';
import type { ICallerDialect } from './callerDialect';

export class NativeCallerDialect implements ICallerDialect {
	constructor(private readonly keyDigests: IKeyDigests) {}

	/** The entry generates the request ids itself. */
	findRequestId(): undefined {
		return undefined;
	}

	readHead(raw: RawHead, manifest: ManifestIndex | undefined): Result<CallHead, RequestError> {
		if (manifest?.manifest.requiresKeys !== true) {
			return parseCallHead(raw);
		}
		return parseCallHead(raw, (_, service) => this.resolveIdentity(raw, service, manifest)).map(head => ({
			...head,
			forwardedLines: removeKeyLines(head.forwardedLines),
		}));
	}

	createAnswerLines(id: RequestId): readonly HeaderLine[] {
		return [
			{ name: headers.requestId, value: id },
			{ name: headers.outcome, value: Outcome.Answered },
		];
	}

	createRefusal(id: RequestId, error: RequestError): Refusal {
		return createRefusal(id, error);
	}

	/** An unknown service is reported as such, also to a caller without a key. */
	private resolveIdentity(
		raw: RawHead,
		service: ServiceName,
		manifest: ManifestIndex,
	): Result<CallerIdentity, RequestError> {
		if (manifest.findService(service) === undefined) {
			return err(createRequestError(ErrorKind.UnknownService, `the manifest has no service ${service}`));
		}
		return resolveKeyOwner(raw, manifest, false, this.keyDigests).andThen(owner =>
			owner === undefined ? readNamedOrganisation(raw) : checkNamedOrganisation(raw, owner),
		);
	}
}

/** Refuses a request that names another organisation than that of its key, which its caller would not notice. */
function checkNamedOrganisation(
	{ lines }: RawHead,
	{ organisation: { name }, keyDigest }: KeyOwner,
): Result<CallerIdentity, RequestError> {
	const isOther = lines.some(line => line.name === headers.organisation && line.value !== name);
	return isOther
		? err(createRequestError(ErrorKind.OrganisationUnknown, `${headers.organisation}: not that of the key`))
		: ok({ organisation: name, keyDigest });
}
