/**
 * Calls other entries about the origins of streams. Entries of earlier releases do not know these calls and are left out.
 */

import { create } from '@bufbuild/protobuf';
import type { VersionHistory } from '../../../core/discovery/common/seenVersions';
import type { BootId, InstanceId } from '../../../core/ids/common/ids';
import {
	FindStreamOriginRequestSchema,
	FindVersionHistoryRequestSchema,
	KeepStreamOriginsRequestSchema,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { HolderCandidate } from '../../common/streams/originHolders';
import type { OriginGroup } from '../../common/streams/originLog';
import type { StreamOrigin } from '../../common/streams/streamOrigin';
import type { StreamKey } from '../../common/streams/streamOrigins';
import type { EntryFleet } from '../fleet/entryFleet';
import type { PeerConnection } from '../peers/peerClients';
import { decodeOrigin, encodeGroup } from './originCodec';
import { decodeVersionHistory } from './versionHistoryCodec';

/** Another entry that knows origins of streams. */
export interface OriginPeer extends HolderCandidate {
	readonly boot: BootId;
}

/** An origin that another entry reported. */
export interface ReportedOrigin {
	readonly origin: StreamOrigin;
	/** Milliseconds since that entry learned of it. */
	readonly ageMs: number;
}

export interface IOriginPeers {
	list(): readonly OriginPeer[];
	/** Reports origins to an entry; rejects if it has not received them in time. */
	sendOrigins(to: InstanceId, groups: readonly OriginGroup[], timeoutMs: number): Promise<void>;
	/** Asks an entry for an origin; rejects if it has not answered in time. */
	askOrigin(peer: InstanceId, key: StreamKey, timeoutMs: number): Promise<ReportedOrigin | undefined>;
}

/** Other entries that know which versions were registered before this one started. */
export interface IHistoryPeers {
	list(): readonly OriginPeer[];
	/** Asks an entry for the versions that it has seen; rejects if it has not answered in time. */
	askVersionHistory(peer: InstanceId, timeoutMs: number): Promise<VersionHistory | undefined>;
}

export class OriginPeers implements IOriginPeers, IHistoryPeers {
	constructor(
		private readonly self: InstanceId,
		private readonly fleet: Pick<EntryFleet, 'listLiveRegions' | 'listLiveIn' | 'findPeer'>,
	) {}

	list(): readonly OriginPeer[] {
		return this.fleet
			.listLiveRegions()
			.flatMap(region => this.fleet.listLiveIn(region))
			.filter(({ view }) => view.keepsStreamOrigins)
			.map(({ view: { instance, region, zone, bootId } }) => ({ instance, region, zone, boot: bootId }));
	}

	async sendOrigins(to: InstanceId, groups: readonly OriginGroup[], timeoutMs: number): Promise<void> {
		const message = create(KeepStreamOriginsRequestSchema, {
			fromInstance: this.self,
			groups: groups.map(encodeGroup),
		});
		await this.findClient(to).keepStreamOrigins(message, { timeoutMs });
	}

	async askOrigin(peer: InstanceId, key: StreamKey, timeoutMs: number): Promise<ReportedOrigin | undefined> {
		const request = create(FindStreamOriginRequestSchema, { streamKey: key });
		const { origin, ageMs } = await this.findClient(peer).findStreamOrigin(request, { timeoutMs });
		return origin === undefined ? undefined : { origin: decodeOrigin(origin), ageMs };
	}

	async askVersionHistory(peer: InstanceId, timeoutMs: number): Promise<VersionHistory | undefined> {
		const request = create(FindVersionHistoryRequestSchema);
		return decodeVersionHistory(await this.findClient(peer).findVersionHistory(request, { timeoutMs }));
	}

	private findClient(instance: InstanceId): PeerConnection['client'] {
		const peer = this.fleet.findPeer(instance);
		if (peer === undefined) {
			throw new Error(`no address of ${instance} is known`);
		}
		return peer.client;
	}
}
