/**
 * Computes the digests of callers' keys. Behind an interface, because hashing needs a module of Node.
 */

import type { KeyDigest } from '../../../core/ids/common/ids';

export interface IKeyDigests {
	/** Returns the digest of a key as a header contains it, in which each character stands for one byte. */
	computeDigest(key: string): KeyDigest;
	/** Remembers the digest of a key that an organisation has, for its next requests. */
	keep(key: string, digest: KeyDigest): void;
}
