/**
 * Hashes keys of callers.
 */

import { hash } from 'node:crypto';
import type { KeyDigest } from '../../../core/ids/common/ids';

/** Returns the SHA-256 digest of the bytes of a key, in hexadecimal. */
export function computeKeyDigest(key: Uint8Array): KeyDigest {
	return hash('sha256', key, 'hex') as KeyDigest;
}
