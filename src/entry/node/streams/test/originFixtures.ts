/** Fixtures for tests of the origins of streams. */

import type {
	BootId,
	InstanceId,
	RegionName,
	ServiceName,
	SoftwareVersion,
	StreamId,
	ZoneName,
} from '../../../../core/ids/common/ids';
import type { OriginGroup } from '../../../common/streams/originLog';
import type { KnownOrigin } from '../../../common/streams/streamOrigin';
import { ownSource } from '../../../common/streams/streamOrigin';
import type { IOriginPeers, OriginPeer, ReportedOrigin } from '../originPeers';
import type { BegunStream } from '../streamOriginKeeper';

/** Creates an entry that holds origins. */
export function createPeer(instance: string, region = 'khomas', zone = `${region}-b`): OriginPeer {
	return {
		instance: instance as InstanceId,
		boot: `boot-of-${instance}` as BootId,
		region: region as RegionName,
		zone: zone as ZoneName,
	};
}

/** Creates an origin that this entry observed. */
export function createOwnOrigin(version: string): KnownOrigin {
	return {
		service: 'writer' as ServiceName,
		version: version as SoftwareVersion,
		source: ownSource,
		learnedMs: 0,
	};
}

/** Creates a stream whose origin is certain. */
export function createStream(id: string, version = 'v1'): BegunStream {
	return { stream: id as StreamId, findOrigin: () => createOwnOrigin(version), isAnswered: () => false };
}

/** Other entries, as a script answers for them. */
export class ScriptedOriginPeers implements IOriginPeers {
	readonly reports: { readonly to: InstanceId; readonly groups: readonly OriginGroup[] }[] = [];
	readonly asked: InstanceId[] = [];
	/** Entries that do not answer. */
	readonly silent = new Set<InstanceId>();
	/** Answers to reports wait until a test gives them. */
	isSlow = false;
	readonly pendingAnswers: (() => void)[] = [];
	readonly known = new Map<InstanceId, ReportedOrigin>();

	constructor(public peers: readonly OriginPeer[]) {}

	list(): readonly OriginPeer[] {
		return this.peers;
	}

	async sendOrigins(to: InstanceId, groups: readonly OriginGroup[]): Promise<void> {
		if (this.silent.has(to)) {
			return Promise.reject(new Error('timeout'));
		}
		this.reports.push({ to, groups });
		return this.isSlow ? new Promise(resolve => this.pendingAnswers.push(resolve)) : Promise.resolve();
	}

	async askOrigin(peer: InstanceId): Promise<ReportedOrigin | undefined> {
		this.asked.push(peer);
		return this.silent.has(peer) ? new Promise(() => undefined) : Promise.resolve(this.known.get(peer));
	}
}
