/**
 * Remembers the digests of recent keys, so that the key of a busy caller is not hashed for each of its requests. The cache
 * has to hold the keys themselves, because a cheaper hash in their place could be inverted or made to collide. It is
 * therefore emptied a few seconds after its first entry, so that no key stays readable longer than that after its use.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { KeyDigest } from '../../../core/ids/common/ids';
import type { IKeyDigests } from '../../common/keys/keyDigests';
import { computeKeyDigest } from './keyDigest';

/** Twice the 540 organisations that the design is bound by; 1,024 keys of 64 characters take about 200 KB. */
const maxKeys = 1_024;
const maxKeptMs = 5_000;

export class KeyDigestCache implements IKeyDigests {
	private readonly digests = new Map<string, KeyDigest>();

	constructor(
		private readonly timers: ITimerService,
		private readonly hashKey: typeof computeKeyDigest = computeKeyDigest,
	) {}

	computeDigest(key: string): KeyDigest {
		return this.digests.get(key) ?? this.hashKey(Buffer.from(key, 'latin1'));
	}

	keep(key: string, digest: KeyDigest): void {
		if (this.digests.size >= maxKeys || this.digests.has(key)) {
			return;
		}
		if (this.digests.size === 0) {
			this.timers.schedule(maxKeptMs, () => {
				this.digests.clear();
			});
		}
		this.digests.set(key, digest);
	}
}
