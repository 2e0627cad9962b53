/**
 * Finds the organisation of a request by its key. Decided by the head alone: a request without a valid key is refused
 * before any byte of its body is read and before anything is looked up for it.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { KeyDigest } from '../../../core/ids/common/ids';
import type { ManifestOrganisation } from '../../../core/manifest/common/manifest';
import type { HeaderLine, RawHead } from '../callers/callHead';
import type { ManifestIndex } from '../placement/manifestIndex';
import type { IKeyDigests } from './keyDigests';

/** An organisation, and the digest of the key that identified it. */
export interface KeyOwner {
	readonly organisation: ManifestOrganisation;
	readonly keyDigest: KeyDigest;
}

/** The header with the key of a request. */
export const keyHeader = 'authorization';
const scheme = 'bearer';

/**
 * Returns the owner of the key in a request, or undefined for a request that needs no key and has no valid one.
 *
 * @param isPublic Whether the request needs no key even if the manifest requires keys.
 */
export function resolveKeyOwner(
	{ lines, forwardedKey }: RawHead,
	manifest: ManifestIndex,
	isPublic: boolean,
	digests: IKeyDigests,
): Result<KeyOwner | undefined, RequestError> {
	if (forwardedKey !== undefined) {
		return resolveForwardedKey(forwardedKey.digest, manifest, isPublic);
	}
	if (!manifest.manifest.requiresKeys) {
		return ok(undefined);
	}
	const owner = readKey(lines).andThen(key => findOwner(key, manifest, digests));
	return isPublic && owner.isErr() ? ok(undefined) : owner;
}

/**
 * Returns the owner of the key in a request that another entry forwarded. That entry may have another version of the
 * manifest, so a digest that is unknown here does not show that the key is invalid. The entry serves the request itself.
 */
export function resolveForwardedKey(
	digest: KeyDigest | undefined,
	manifest: ManifestIndex,
	isPublic: boolean,
): Result<KeyOwner | undefined, RequestError> {
	if (digest === undefined) {
		return manifest.manifest.requiresKeys && !isPublic
			? refuseForwardedKey('the request was forwarded without a key')
			: ok(undefined);
	}
	const organisation = manifest.findKeyOwner(digest);
	return organisation === undefined
		? refuseForwardedKey('no organisation of the manifest in force has the key')
		: ok({ organisation, keyDigest: digest });
}

/** Removes the lines that only the entry may read. */
export function removeKeyLines(lines: readonly HeaderLine[]): HeaderLine[] {
	return lines.filter(({ name }) => name !== keyHeader);
}

function findOwner(
	key: string,
	manifest: ManifestIndex,
	digests: IKeyDigests,
): Result<KeyOwner, RequestError> {
	const keyDigest = digests.computeDigest(key);
	const organisation = manifest.findKeyOwner(keyDigest);
	if (organisation === undefined) {
		return refuseKey('the key belongs to no organisation');
	}
	// Unknown keys are not kept, since a flood of them would displace the keys in use.
	digests.keep(key, keyDigest);
	return ok({ organisation, keyDigest });
}

/** Reads the key. The text of a header never becomes part of an error, which is logged and sent. */
function readKey(lines: readonly HeaderLine[]): Result<string, RequestError> {
	const [value, ...more] = lines.filter(({ name }) => name === keyHeader).map(line => line.value);
	if (value === undefined) {
		return refuseKey('the Authorization header is missing');
	}
	if (more.length > 0) {
		return refuseKey('there is more than one Authorization header');
	}
	const text = removeOuterBlanks(value);
	const key = removeOuterBlanks(text.slice(scheme.length));
	const isSeparated = isBlank(text[scheme.length]);
	if (text.slice(0, scheme.length).toLowerCase() !== scheme || !isSeparated || key === '') {
		return refuseKey('the Authorization header is not of the form Bearer KEY');
	}
	return ok(key);
}

function refuseKey(detail: string): Result<never, RequestError> {
	return err(createRequestError(ErrorKind.KeyUnknown, detail));
}

function refuseForwardedKey(detail: string): Result<never, RequestError> {
	return err(createRequestError(ErrorKind.KeyUnconfirmed, detail));
}

function isBlank(character: string | undefined): boolean {
	return character === ' ' || character === '\t';
}

/**
 * Removes blanks and tabs from both ends. `String.trim` would also remove bytes of keys that are not ASCII, and a regular
 * expression would take time that grows with the square of the number of blanks.
 */
export function removeOuterBlanks(text: string): string {
	let start = 0;
	let end = text.length;
	while (start < end && isBlank(text[start])) {
		start++;
	}
	while (end > start && isBlank(text[end - 1])) {
		end--;
	}
	return text.slice(start, end);
}
