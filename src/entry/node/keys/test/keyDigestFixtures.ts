/**
 * Digests of keys for tests.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { KeyDigest } from '../../../../core/ids/common/ids';
import { computeKeyDigest } from '../keyDigest';
import { KeyDigestCache } from '../keyDigestCache';

export function createKeyDigests(): KeyDigestCache {
	return new KeyDigestCache(new ManualTimerService());
}

/** Returns the digest of a key in UTF-8. */
export function computeDigestOf(key: string): KeyDigest {
	return computeKeyDigest(Buffer.from(key));
}
