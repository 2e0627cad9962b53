/**
 * The lives of all targets at one entry, fed by the manifest, the instance list, peers and the targets'
 * own answers.
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

/** Which targets may be given requests. */
export interface ITargetLifecycles {
	/** The id of each target whose state changed. */
	readonly onDidChange: Stream<TargetId>;
	findLifecycle(id: TargetId): TargetLifecycle | undefined;
	isUsable(id: TargetId): boolean;
}

/** Owns one life for each target of the manifest in force. */
export class TargetLifecycles extends Disposable implements ITargetLifecycles {
	private readonly channel = this.register(new Channel<TargetId>());
	private readonly lifecycles = new Map<TargetId, TargetLifecycle>();
	private version: ManifestVersion | undefined;

	readonly onDidChange = this.channel.stream;

	constructor(private readonly auditTrail: IAuditTrail) {
		super();
	}

	/** A manifest came into force. */
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

	/** An instance list arrived. */
	setInstanceList(listed: ReadonlyMap<TargetId, ListedTarget>, nowMs: number): void {
		for (const [id, lifecycle] of this.lifecycles) {
			lifecycle.noteListed(listed.get(id), nowMs);
		}
	}

	/** A peer's view names the targets that told the peer itself that they are leaving. */
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
	 * For this entry's own view. Words heard from peers are left out: two entries that repeat each other's
	 * word would keep it standing for good.
	 */
	listSelfReportedLeaving(): readonly TargetId[] {
		return [...this.lifecycles]
			.filter(([, lifecycle]) => lifecycle.isSelfReportedLeaving())
			.map(([id]) => id);
	}

	/** The targets that must be probed now; the end of each probe is told to its life. */
	startDueProbes(nowMs: number): readonly TargetId[] {
		return [...this.lifecycles].filter(([, lifecycle]) => lifecycle.startProbe(nowMs)).map(([id]) => id);
	}

	/** When `startTrials` has something to do, in monotonic milliseconds, or undefined. */
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
