/**
 * Fetches a newer manifest that a peer's view reports. A new version appears in the views of many peers within a
 * second, and fetching it from each of them would transfer the complete document many times over links that also
 * carry requests. Each version is therefore fetched from one peer at a time.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId, ManifestVersion } from '../../../core/ids/common/ids';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { PeerConnection } from '../peers/peerClients';

/** Time after which another peer may be asked for the same version, because the first one may not answer. */
const otherPeerDelayMs = 2_000;

/** The subset of the manifest keeper that is used. */
export type FetchingManifestKeeper = Pick<ManifestKeeper, 'getVersion' | 'fetchFromPeer'>;

/** Keeps at most one fetch in progress for each version. */
export class ManifestFetcher {
	private readonly pending = new Map<ManifestVersion, IDisposable>();

	constructor(
		private readonly manifestKeeper: FetchingManifestKeeper,
		private readonly timers: ITimerService,
	) {}

	/** Fetches the manifest if the version is newer than the current one and is not being fetched already. */
	async fetch(instance: InstanceId, version: ManifestVersion, peer: PeerConnection): Promise<void> {
		if (version <= this.manifestKeeper.getVersion() || this.pending.has(version)) {
			return;
		}
		const expiry = this.timers.schedule(otherPeerDelayMs, () => {
			this.pending.delete(version);
		});
		this.pending.set(version, expiry);
		try {
			await this.manifestKeeper.fetchFromPeer(instance, version, peer);
		} finally {
			expiry.dispose();
			if (this.pending.get(version) === expiry) {
				this.pending.delete(version);
			}
		}
	}
}
