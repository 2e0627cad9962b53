/**
 * What this entry says of itself to its peers.
 */

import { create } from '@bufbuild/protobuf';
import type { ITimerService } from '../../../base/common/timerService';
import type { NamedEntry } from '../../../platform/errors/common/errorKinds';
import type { BootId } from '../../../platform/ids/common/ids';
import type { EntrySettings } from '../../../platform/settings/common/entrySettings';
import type { EntryView, ServiceRoom } from '../../../gen/anvilroad/peer/v1/peer_pb';
import {
	CrashSightingSchema,
	EntryViewSchema,
	ServiceRoomSchema,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { Quarantine } from '../../common/quarantine/quarantine';
import type { ManifestKeeper } from '../manifest/manifestKeeper';
import type { ServiceRunners } from '../requests/serviceRunners';
import type { TargetRegistry } from '../targets/targetRegistry';

/** Enough of a digest to tell two documents of one version apart in a view. */
const digestCharacters = 16;

/** The parts that a view tells of. */
export interface OwnViewParts {
	readonly manifests: ManifestKeeper;
	readonly targets: TargetRegistry;
	readonly runners: ServiceRunners;
	readonly quarantine: Quarantine;
	readonly timers: ITimerService;
}

/** Makes this entry's view; each one made counts the sequence up. */
export class OwnView {
	private sequence = 0n;
	private hasLeft = false;

	constructor(
		private readonly settings: EntrySettings,
		private readonly boot: BootId,
		private readonly parts: OwnViewParts,
	) {}

	isLeaving(): boolean {
		return this.hasLeft;
	}

	setLeaving(): void {
		this.hasLeft = true;
	}

	/** As lookups name this entry to callers. */
	getName(): NamedEntry {
		const { instance, callers } = this.settings;
		return { instance: instance.id, region: instance.region, zone: instance.zone, url: callers.url };
	}

	describe(): EntryView {
		const { instance, callers, peers } = this.settings;
		const accepted = this.parts.manifests.getCurrent()?.accepted;
		this.sequence++;
		return create(EntryViewSchema, {
			instanceId: instance.id,
			bootId: this.boot,
			sequence: this.sequence,
			region: instance.region,
			zone: instance.zone,
			callerUrl: callers.url,
			peerUrl: peers.url,
			isLeaving: this.hasLeft,
			manifestVersion: BigInt(accepted?.version ?? 0),
			manifestDigest: accepted?.digest.slice(0, digestCharacters) ?? '',
			services: this.parts.runners.listServices().map(service => this.describeRoom(service)),
			leavingTargets: [...this.parts.targets.listLeavingByOwnWord()],
			crashSightings: this.parts.quarantine
				.listSightings(this.parts.timers.getNow())
				.map(sighting => create(CrashSightingSchema, { ...sighting, ageMs: Math.round(sighting.ageMs) })),
		});
	}

	private describeRoom(service: Parameters<ServiceRunners['getRunner']>[0]): ServiceRoom {
		const room = this.parts.runners.getRunner(service).measureRoom();
		return create(ServiceRoomSchema, {
			service,
			waitMs: Math.min(0xffff_ffff, Math.ceil(room.waitMs)),
			freeSlots: Math.max(0, Math.floor(room.freeSlots)),
			running: room.running,
			queued: room.queued,
		});
	}
}
