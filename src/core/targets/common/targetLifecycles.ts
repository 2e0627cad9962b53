/**
 * Lifecycles of all targets at one entry, updated from the manifest, the instance list, peers and the targets' answers.
 */

import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import type { ManifestVersion, TargetId } from '../../ids/common/ids';
import type { ManifestTarget } from '../../manifest/common/manifest';
import type { ListedTarget, TargetChange } from './targetLifecycle';
import { TargetLifecycle } from './targetLifecycle';

/** Provides the state of targets and whether they may receive requests. */
export interface ITargetLifecycles {
	/** Emits the id of a target when its state changes. */
	readonly onDidChange: Stream<TargetId>;
	findLifecycle(id: TargetId): TargetLifecycle | undefined;
	isUsable(id: TargetId): boolean;
}

/** Keeps a lifecycle for each target of the manifest in force. */
export class TargetLifecycles extends Disposable implements ITargetLifecycles {
	private readonly channel = this.register(new Channel<TargetId>());
	private readonly lifecycles = new Map<TargetId, TargetLifecycle>();
	private version: ManifestVersion | undefined;

	readonly onDidChange = this.channel.stream;

	constructor(private readonly auditTrail: IAuditTrail) {
		super();
	}

	/** Adds and removes lifecycles according to a manifest that came into force. */
	setManifest(targets: readonly ManifestTarget[], version: ManifestVersion, nowMs: number): void {
		this.version = version;
		const named = new Set(targets.map(target => target.id));
		for (const [id, lifecycle] of [...this.lifecycles].filter(([known]) => !named.has(known))) {
			lifecycle.remove(version);
			this.lifecycles.delete(id);
		}
		for (const { id, intent } of targets) {
			this.openLifecycle(id).noteManifest(intent, version, nowMs);
		}
	}

	/** Applies an instance list to all targets. */
	setInstanceList(listed: ReadonlyMap<TargetId, ListedTarget>, nowMs: number): void {
		for (const [id, lifecycle] of this.lifecycles) {
			lifecycle.noteListed(listed.get(id), nowMs);
		}
	}

	/** Records the targets that reported to a peer that they are leaving. */
	noteLeavingReportedByPeer(ids: readonly TargetId[], nowMs: number): void {
		for (const id of ids) {
			this.lifecycles.get(id)?.notePeerReport(nowMs);
		}
	}

	findLifecycle(id: TargetId): TargetLifecycle | undefined {
		return this.lifecycles.get(id);
	}

	isUsable(id: TargetId): boolean {
		return this.lifecycles.get(id)?.isUsable() === true;
	}

	/**
	 * Returns the targets that reported to this entry itself that they are leaving, for the entry's own view. Reports
	 * from peers are omitted, since two entries that repeat each other's reports would never let them expire.
	 */
	listSelfReportedLeaving(): readonly TargetId[] {
		return [...this.lifecycles]
			.filter(([, lifecycle]) => lifecycle.isSelfReportedLeaving())
			.map(([id]) => id);
	}

	/** Returns the targets that must be probed now; report the result of each probe to the target's lifecycle. */
	startDueProbes(nowMs: number): readonly TargetId[] {
		return [...this.lifecycles].filter(([, lifecycle]) => lifecycle.startProbe(nowMs)).map(([id]) => id);
	}

	/** When `startDueProbes` must be called next, in monotonic milliseconds, or undefined. */
	getNextDueMs(): number | undefined {
		const dues = [...this.lifecycles.values()]
			.map(lifecycle => lifecycle.getNextDueMs())
			.filter(due => due !== undefined);
		return dues.length > 0 ? Math.min(...dues) : undefined;
	}

	private openLifecycle(id: TargetId): TargetLifecycle {
		const known = this.lifecycles.get(id);
		if (known !== undefined) {
			return known;
		}
		const lifecycle = new TargetLifecycle(change => {
			this.noteChange(id, change);
		});
		this.lifecycles.set(id, lifecycle);
		return lifecycle;
	}

	private noteChange(id: TargetId, change: TargetChange): void {
		this.auditTrail.record({
			kind: AuditKind.Target,
			subject: id,
			...change,
			manifestVersion: this.version,
		});
		this.channel.emit(id);
	}
}
