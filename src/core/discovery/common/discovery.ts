/**
 * Registered targets and the availability zones that are evacuated, whose targets receive no requests.
 *
 * The registrations of healthy targets expire while the platform's store is down. The targets write them again shortly
 * after the store recovers, but the first read after the recovery shows them as removed. If these removals applied at
 * once, each recovery of the store would leave the region without targets for a second or two, and requests would be
 * refused. A removal read just after an outage therefore applies only if the target has not registered again within
 * `reregistrationGraceMs`. A target that had asked for no new requests is removed at once in any case.
 *
 * The configuration may be known from another entry before the evacuations are read. Until then no target receives requests.
 *
 * Registrations read from a store that was restored from an older copy may be outdated. Such a registration does not
 * make a leaving or removed target of the same boot available again; the target re-registers with its current state.
 */

import { LRUCache } from 'lru-cache';
import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import type {
	BootId,
	InstanceId,
	ServiceName,
	SoftwareVersion,
	TargetId,
	ZoneName,
} from '../../ids/common/ids';
import type { FollowStart, StorePosition } from '../../store/common/storeFollower';
import type { DiscoveredTarget } from './discoveredTarget';
import type { VersionHistory } from './seenVersions';
import { SeenVersions } from './seenVersions';

/** Registrations that were written or removed since the previous read. */
export interface RegistrationChange {
	readonly registered: readonly DiscoveredTarget[];
	readonly removed: readonly TargetId[];
	/** Registrations that were written since the previous read and are no longer present. */
	readonly superseded?: readonly DiscoveredTarget[];
	readonly isAfterOutage: boolean;
	/** Read from a store restored from an older copy; registrations of a known boot may be outdated. */
	readonly isRestored?: boolean;
}

/** A registered target with the times derived from its registration. */
export interface KnownTarget {
	readonly target: DiscoveredTarget;
	/** When the target is no longer cold, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/** When the target will stop, in monotonic milliseconds; infinite if no end was announced. */
	readonly endsMs: number;
	/** Incremented when the target registers for the first time or with another boot, version or URL. */
	readonly generation: number;
}

/** Follows the registrations in the store. */
export interface IRegistrationSource {
	/** The registrations are known as they were at this time, in monotonic milliseconds. */
	getCurrentAsOfMs(): number | undefined;
	isReached(): boolean;
	/** The listing since which all registrations are known; undefined before the first answer. */
	getFollowStart(): FollowStart | undefined;
	/** The position of the store up to which changes have been applied; undefined if that is not certain. */
	getEmittedPosition(): StorePosition | undefined;
}

/** Up to when the store has confirmed a registration. */
export interface RegistrationConfirmation {
	readonly asOfMs: number;
	/** Whether the store answers at present. */
	readonly isReached: boolean;
}

/** How long an expired registration may take to be written again after an outage of the store, in milliseconds. */
export const reregistrationGraceMs = 2_200;

/** Maximum number of removed targets whose boots are kept. */
const maxRemovedBoots = 1_000;

/** Keeps the registered targets and the evacuated zones. */
export class Discovery extends Disposable {
	private readonly known = new Map<TargetId, KnownTarget>();
	private readonly pendingRemovals = new Map<TargetId, number>();
	/** Boots of removed targets, to recognise their outdated registrations after a restore of the store. */
	private readonly removedBoots = new LRUCache<TargetId, BootId>({ max: maxRemovedBoots });
	private source: IRegistrationSource | undefined;
	private restoredMs = Number.NEGATIVE_INFINITY;
	private readonly seenVersions = new SeenVersions();
	/** Undefined if the evacuations are followed but not read yet. */
	private evacuated: ReadonlySet<ZoneName> | undefined = new Set();
	private hasRead = false;
	private hasChanged = false;
	private readonly channel = this.register(new Channel<undefined>());

	/** The targets, their state or the evacuated zones changed. A renewal of an unchanged registration emits nothing. */
	readonly onDidChange: Stream<undefined> = this.channel.stream;

	constructor(private readonly auditTrail: IAuditTrail) {
		super();
	}

	/** Whether the registrations have been read at least once. */
	isRead(): boolean {
		return this.hasRead;
	}

	list(): readonly KnownTarget[] {
		return [...this.known.values()];
	}

	find(id: TargetId): KnownTarget | undefined {
		return this.known.get(id);
	}

	/** Sets how the registrations follow the store. Without this, no registration counts as confirmed. */
	setSource(source: IRegistrationSource): void {
		this.source = source;
	}

	/**
	 * Returns the time up to which the store has confirmed a registration, or undefined if it has not: the target is missing there, or the
	 * registration was read from an older copy of the store and not written again.
	 */
	findConfirmation(id: TargetId): RegistrationConfirmation | undefined {
		const asOfMs = this.source?.getCurrentAsOfMs();
		if (asOfMs === undefined || this.pendingRemovals.has(id) || !this.known.has(id)) {
			return undefined;
		}
		const isReached = this.source?.isReached() === true;
		return asOfMs < this.restoredMs + reregistrationGraceMs ? undefined : { asOfMs, isReached };
	}

	/**
	 * Returns the version of a service's targets if the store has shown no other one for `spanMs`. Returns undefined if it has, if it
	 * has not answered for so long, or if neither this entry nor one whose history it took over has followed it for so long: the targets
	 * of another version may have left just before.
	 */
	findOnlyVersion(service: ServiceName, spanMs: number, nowMs: number): SoftwareVersion | undefined {
		const { only, isFollowed } = this.describeVersions(service, spanMs, nowMs);
		return isFollowed ? only : undefined;
	}

	/** Whether this entry has seen one version alone within `spanMs`, also if it has followed the store for less time. */
	hasOneVersion(service: ServiceName, spanMs: number, nowMs: number): boolean {
		return this.describeVersions(service, spanMs, nowMs).only !== undefined;
	}

	/** Whether the store answers at present. */
	isStoreReached(): boolean {
		return this.source?.isReached() === true;
	}

	/** Describes the registered versions for another entry; undefined if they are not certain. */
	describeVersionHistory(nowMs: number): VersionHistory | undefined {
		const position = this.source?.getEmittedPosition();
		const start = this.source?.getFollowStart();
		const asOfMs = this.source?.getCurrentAsOfMs();
		if (position === undefined || start === undefined || asOfMs === undefined) {
			return undefined;
		}
		const ageMs = Math.max(0, nowMs - asOfMs);
		const present = this.list().map(({ target: { service, version } }) => ({ service, version, ageMs }));
		return this.seenVersions.describe(present, position, start, nowMs);
	}

	/** Adds the versions that another entry has seen, and the time before this one followed the store, if it knows that. */
	addVersionHistory(history: VersionHistory, from: InstanceId, receivedMs: number): void {
		const start = this.source?.getFollowStart();
		if (start === undefined) {
			return;
		}
		const beforeMs = this.seenVersions.getKnownSinceMs(start);
		this.seenVersions.add(history, start, receivedMs);
		const sinceMs = this.seenVersions.getKnownSinceMs(start);
		if (sinceMs < beforeMs) {
			const describe = (knownSinceMs: number): string =>
				`known for ${Math.round(receivedMs - knownSinceMs)} ms`;
			this.record('versions', describe(beforeMs), describe(sinceMs), `history of ${from}`);
		}
	}

	/** Declares that the evacuations are followed. All zones count as evacuated until `setEvacuated` is called. */
	followEvacuations(): void {
		this.evacuated = undefined;
	}

	hasReadEvacuations(): boolean {
		return this.evacuated !== undefined;
	}

	isEvacuated(zone: ZoneName): boolean {
		return this.evacuated === undefined || this.evacuated.has(zone);
	}

	applyRegistrations(change: RegistrationChange, nowMs: number): void {
		this.hasChanged ||= !this.hasRead;
		this.hasRead = true;
		if (change.isRestored === true) {
			this.restoredMs = nowMs;
		}
		for (const target of change.registered) {
			if (change.isRestored === true) {
				this.putRestoredTarget(target, nowMs);
			} else {
				this.putTarget(target, nowMs);
			}
		}
		for (const target of change.superseded ?? []) {
			this.seenVersions.noteEnd(target, nowMs);
		}
		for (const id of change.removed) {
			this.handleRemoval(id, change.isAfterOutage, nowMs);
		}
		this.emitChange();
	}

	/**
	 * Sets the zones whose targets receive no requests. Targets of a zone that is no longer evacuated may have been
	 * restarted meanwhile, and registrations that show it arrive late; such targets count as cold for `coldMs`.
	 */
	setEvacuated(zones: ReadonlySet<ZoneName>, coldMs: number, nowMs: number): void {
		const before = this.evacuated ?? new Set();
		for (const zone of zones) {
			if (!before.has(zone)) {
				this.record(zone, 'in use', 'evacuated', 'operator');
			}
		}
		for (const zone of before) {
			if (!zones.has(zone)) {
				this.record(zone, 'evacuated', 'in use', 'operator');
				this.setZoneCold(zone, nowMs + coldMs);
			}
		}
		this.evacuated = zones;
		this.hasChanged = true;
		this.emitChange();
	}

	/** Applies the delayed removals that are due. */
	expire(nowMs: number): void {
		const due = [...this.pendingRemovals].filter(([, dueMs]) => dueMs <= nowMs);
		for (const [id] of due) {
			this.remove(id, 'not registered again after an outage of the store', nowMs);
		}
		this.emitChange();
	}

	/** The only version of a service within `spanMs`, if there is one, and whether all versions since then are known. */
	private describeVersions(
		service: ServiceName,
		spanMs: number,
		nowMs: number,
	): { readonly only: SoftwareVersion | undefined; readonly isFollowed: boolean } {
		const asOfMs = this.source?.getCurrentAsOfMs() ?? Number.NEGATIVE_INFINITY;
		const present = this.list()
			.filter(({ target }) => target.service === service)
			.map(({ target }) => target.version);
		const versions = new Set([...present, ...this.seenVersions.listPast(service, spanMs, nowMs)]);
		const [only] = versions;
		const sinceMs = this.seenVersions.getKnownSinceMs(this.source?.getFollowStart());
		return {
			only: versions.size === 1 && nowMs - asOfMs < spanMs ? only : undefined,
			isFollowed: nowMs - sinceMs >= spanMs,
		};
	}

	private emitChange(): void {
		if (this.hasChanged) {
			this.hasChanged = false;
			this.channel.emit(undefined);
		}
	}

	private putRestoredTarget(target: DiscoveredTarget, nowMs: number): void {
		const { id, boot } = target;
		if (boot !== undefined && this.removedBoots.get(id) === boot) {
			return;
		}
		const before = this.known.get(id)?.target;
		const isStillLeaving = before !== undefined && before.boot === boot && before.isLeaving;
		this.putTarget(isStillLeaving ? { ...target, isLeaving: true } : target, nowMs);
	}

	private putTarget(target: DiscoveredTarget, nowMs: number): void {
		const { id } = target;
		const before = this.known.get(id);
		const isNewBoot =
			before === undefined ||
			before.target.boot !== target.boot ||
			before.target.version !== target.version ||
			before.target.url !== target.url;
		this.pendingRemovals.delete(id);
		if (before !== undefined && nowMs >= before.coldUntilMs && isRenewal(before.target, target)) {
			return;
		}
		this.hasChanged = true;
		if (before !== undefined && isNewBoot) {
			this.seenVersions.noteEnd(before.target, nowMs);
		}
		this.known.set(id, {
			target,
			coldUntilMs: nowMs + target.coldLeftMs,
			endsMs: target.remainingMs === undefined ? Number.POSITIVE_INFINITY : nowMs + target.remainingMs,
			generation: (before?.generation ?? 0) + (isNewBoot ? 1 : 0),
		});
		const from = before === undefined ? 'unknown' : describeState(before.target);
		const to = describeState(target);
		if (from !== to || isNewBoot) {
			this.record(id, from, to, `registration, ${target.service} in ${target.zone}`);
		}
	}

	private handleRemoval(id: TargetId, isAfterOutage: boolean, nowMs: number): void {
		const known = this.known.get(id);
		if (known === undefined) {
			return;
		}
		if (!isAfterOutage || known.target.isLeaving) {
			this.remove(id, 'registration removed', nowMs);
			return;
		}
		this.pendingRemovals.set(id, nowMs + reregistrationGraceMs);
		this.record(
			id,
			describeState(known.target),
			'lapsed',
			'registration missing after an outage of the store',
		);
	}

	private remove(id: TargetId, sign: string, nowMs: number): void {
		const known = this.known.get(id);
		this.pendingRemovals.delete(id);
		if (known !== undefined) {
			this.hasChanged = true;
			this.known.delete(id);
			this.recordRemovedBoot(known.target);
			this.seenVersions.noteEnd(known.target, nowMs);
			this.record(id, describeState(known.target), 'gone', sign);
		}
	}

	private recordRemovedBoot({ id, boot }: DiscoveredTarget): void {
		if (boot !== undefined) {
			this.removedBoots.set(id, boot);
		}
	}

	private setZoneCold(zone: ZoneName, coldUntilMs: number): void {
		for (const [id, known] of this.known) {
			if (known.target.zone === zone) {
				this.known.set(id, { ...known, coldUntilMs: Math.max(known.coldUntilMs, coldUntilMs) });
			}
		}
	}

	private record(subject: string, from: string, to: string, sign: string): void {
		this.auditTrail.record({ kind: AuditKind.Target, subject, from, to, sign, manifestVersion: undefined });
	}
}

/** Whether a registration repeats that of a warm target without an announced end. */
function isRenewal(before: DiscoveredTarget, target: DiscoveredTarget): boolean {
	const hasNoTimes = target.coldLeftMs === 0 && target.remainingMs === undefined;
	const { service, region, zone, url, slots, isLeaving, remainingMs, boot, version } = before;
	return (
		hasNoTimes &&
		remainingMs === undefined &&
		target.boot === boot &&
		target.version === version &&
		target.url === url &&
		target.isLeaving === isLeaving &&
		target.slots === slots &&
		target.service === service &&
		target.region === region &&
		target.zone === zone
	);
}

function describeState(target: DiscoveredTarget): string {
	if (target.isLeaving) {
		return 'leaving';
	}
	return target.coldLeftMs > 0 ? 'cold' : 'live';
}
