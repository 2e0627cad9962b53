/**
 * Holds the current manifest. It accepts new versions from the platform and fetches them from peers that have a newer
 * one, so that a manifest reaches all connected instances even if only one of them can reach the platform.
 */

import { createHash } from 'node:crypto';
import type { Stream } from 'most';
import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import type { InstanceId } from '../../../core/ids/common/ids';
import type { AcceptedManifest, ManifestState } from '../../../core/manifest/common/manifestHolder';
import { ManifestHolder } from '../../../core/manifest/common/manifestHolder';
import type { PlatformDocument } from '../../../core/platformClient/node/platformClient';
import { ManifestIndex } from '../../common/placement/manifestIndex';
import type { PeerConnection } from '../peers/peerClients';

/** The current manifest with its lookup tables. */
export interface IndexedManifest {
	readonly accepted: AcceptedManifest;
	readonly index: ManifestIndex;
}

/** Called with the result of each submitted document. */
export type ObserveSubmission = (state: ManifestState) => void;

function computeDigest(document: string): string {
	return createHash('sha256').update(document).digest('hex');
}

/** Holds the current manifest and validates new ones. */
export class ManifestKeeper extends Disposable {
	private readonly holder: ManifestHolder;
	private readonly fetchingFrom = new Set<InstanceId>();
	private current: IndexedManifest | undefined;
	private acceptedMs = 0;

	/** Emits each manifest that becomes current; `getCurrent` already returns it at that time. */
	readonly onDidAccept: Stream<AcceptedManifest>;

	constructor(
		auditTrail: IAuditTrail,
		private readonly observeSubmission: ObserveSubmission,
		private readonly timers: ITimerService,
	) {
		super();
		this.holder = this.register(new ManifestHolder(computeDigest, auditTrail));
		this.onDidAccept = this.holder.onDidAccept;
		this.register(
			subscribeTo(this.holder.onDidAccept, accepted => {
				this.acceptedMs = this.timers.getNow();
				this.current = { accepted, index: new ManifestIndex(accepted.manifest) };
			}),
		);
	}

	getCurrent(): IndexedManifest | undefined {
		return this.current;
	}

	/** Version of the current manifest; 0 before the first. */
	getVersion(): number {
		return this.current?.accepted.version ?? 0;
	}

	/** Milliseconds since the manifest became current; undefined before the first. */
	getAgeMs(): number | undefined {
		return this.current === undefined ? undefined : this.timers.getNow() - this.acceptedMs;
	}

	takeFromPlatform(document: PlatformDocument): void {
		this.submit(document.version, document.bytes, 'platform');
	}

	/** Fetches a peer's manifest if its view reports a higher version; at most one fetch per peer at a time. */
	async fetchFromPeer(instance: InstanceId, version: number, peer: PeerConnection): Promise<void> {
		if (version <= this.getVersion() || this.fetchingFrom.has(instance)) {
			return;
		}
		this.fetchingFrom.add(instance);
		try {
			const answer = await peer.client.fetchManifest({});
			this.submit(Number(answer.version), answer.document, `peer ${instance}`);
		} catch {
			// A failed fetch is retried: the peer's next view reports the version again.
		} finally {
			this.fetchingFrom.delete(instance);
		}
	}

	private submit(version: number, bytes: Uint8Array, source: string): void {
		const document = Buffer.from(bytes).toString('utf8');
		this.observeSubmission(this.holder.submit({ version, document, source }));
	}
}
