/**
 * Encodes the digest of the key of a forwarded request.
 */

import type { KeyDigest } from '../../../core/ids/common/ids';

export function encodeKeyDigest(digest: KeyDigest): Uint8Array {
	return Buffer.from(digest, 'hex');
}

/** Returns undefined for a request without a key. */
export function decodeKeyDigest(bytes: Uint8Array): KeyDigest | undefined {
	return bytes.byteLength === 0 ? undefined : (Buffer.from(bytes).toString('hex') as KeyDigest);
}
