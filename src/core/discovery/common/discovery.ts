/**
 * The targets that have registered themselves with the platform, and the availability zones whose targets
 * are to get nothing at present.
 *
 * While the platform's store is away, the registrations of targets that are well lapse with it. They are
 * written again within moments of its return; but the first thing that is read then is that the targets
 * are gone. Acted on at once, each return of the store would empty the region for a second or two, seen as
 * a burst of refusals. So a removal that is read just after an outage takes effect only if the target has
 * not registered again when `settleMs` have passed. A target that had asked for no new work is left out
 * either way.
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
import type { BootId, TargetId, ZoneName } from '../../ids/common/ids';
import type { DiscoveredTarget } from './discoveredTarget';

/** What was read of the registrations. */
export interface RegistrationChange {
	readonly registered: readonly DiscoveredTarget[];
	readonly removed: readonly TargetId[];
	readonly isAfterOutage: boolean;
	/** Read from a store restored from an older copy; registrations of a known boot may be outdated. */
	readonly isRestored?: boolean;
}

/** A registered target with what has become of it since. */
export interface KnownTarget {
	readonly target: DiscoveredTarget;
	/** Until when it must be spared, in monotonic milliseconds. */
	readonly coldUntilMs: number;
	/** When it will be taken away, in monotonic milliseconds; infinite where nobody has said so. */
	readonly endsMs: number;
	/** It registered with another boot than before, or for the first time; counts up. */
	readonly generation: number;
}

/** How long a lapsed registration may take to come back once the store is there again, in milliseconds. */
export const reregistrationGraceMs = 2_200;

/** How many removed targets are remembered with their boots. */
const maxRemovedBoots = 1_000;

/** Holds what is registered. */
export class Discovery extends Disposable {
	private readonly known = new Map<TargetId, KnownTarget>();
	private readonly pendingRemovals = new Map<TargetId, number>();
	/** Boots of removed targets, to recognise their outdated registrations after a restore of the store. */
	private readonly removedBoots = new LRUCache<TargetId, BootId>({ max: maxRemovedBoots });
	private evacuated: ReadonlySet<ZoneName> = new Set();
	private hasRead = false;
	private readonly channel = this.register(new Channel<undefined>());

	/** The targets, their state or the evacuated zones changed. */
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

	isEvacuated(zone: ZoneName): boolean {
		return this.evacuated.has(zone);
	}

	applyRegistrations(change: RegistrationChange, nowMs: number): void {
		this.hasRead = true;
		for (const target of change.registered) {
			if (change.isRestored === true) {
				this.putRestoredTarget(target, nowMs);
			} else {
				this.putTarget(target, nowMs);
			}
		}
		for (const id of change.removed) {
			this.handleRemoval(id, change.isAfterOutage, nowMs);
		}
		this.channel.emit(undefined);
	}

	/**
	 * The zones whose targets are to get nothing. Targets of a zone that is taken back may have been started
	 * anew meanwhile, and their own word on it lags; so they count as cold for `coldMs` from then on.
	 */
	setEvacuated(zones: ReadonlySet<ZoneName>, coldMs: number, nowMs: number): void {
		for (const zone of zones) {
			if (!this.evacuated.has(zone)) {
				this.record(zone, 'in use', 'evacuated', 'operator');
			}
		}
		for (const zone of this.evacuated) {
			if (!zones.has(zone)) {
				this.record(zone, 'evacuated', 'in use', 'operator');
				this.setZoneCold(zone, nowMs + coldMs);
			}
		}
		this.evacuated = zones;
		this.channel.emit(undefined);
	}

	/** Carries out removals that were held back. */
	expire(nowMs: number): void {
		const due = [...this.pendingRemovals].filter(([, dueMs]) => dueMs <= nowMs);
		for (const [id] of due) {
			this.remove(id, 'not registered again after an outage of the store');
		}
		if (due.length > 0) {
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
			before === undefined || before.target.boot !== target.boot || before.target.url !== target.url;
		this.pendingRemovals.delete(id);
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
			this.remove(id, 'registration removed');
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

	private remove(id: TargetId, sign: string): void {
		const known = this.known.get(id);
		this.pendingRemovals.delete(id);
		if (known !== undefined) {
			this.known.delete(id);
			this.recordRemovedBoot(known.target);
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

function describeState(target: DiscoveredTarget): string {
	if (target.isLeaving) {
		return 'leaving';
	}
	return target.coldLeftMs > 0 ? 'cold' : 'live';
}
