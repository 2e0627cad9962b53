/**
 * The lives of the other entry instances. A life belongs to one boot: a process that was frozen and wakes
 * after its instance was replaced speaks under the same name, and if both shared a life, the sleeper's old
 * word would overwrite its replacement's.
 *
 * A process that was frozen itself has heard nothing meanwhile, and its first look at the clock would
 * declare the whole fleet gone. The time that it slept is therefore not counted as the others' silence.
 */

import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import type { BootId, InstanceId } from '../../ids/common/ids';
import type { InstanceChange, SilenceTimeouts } from './instanceLifecycle';
import { InstanceLifecycle, InstanceState } from './instanceLifecycle';

/** What a view tells of the life of the instance that spoke it. */
export interface InstanceReport {
	readonly instance: InstanceId;
	readonly boot: BootId;
	/** Where it answers other entries; two boots at one address cannot both be alive. */
	readonly peerUrl: string;
	readonly isLeaving: boolean;
	/** Milliseconds since it spoke. */
	readonly ageMs: number;
}

/** One boot with its life. */
export interface KnownInstance {
	readonly instance: InstanceId;
	readonly boot: BootId;
	readonly peerUrl: string;
	readonly lifecycle: InstanceLifecycle;
}

/** Views are exchanged about once a second; three missed ones are more than a lost packet. */
export const defaultSilenceTimeouts: SilenceTimeouts = { suspectAfterMs: 3_500, removeAfterMs: 120_000 };

/** Owns one life for each boot of each other instance. */
export class InstanceLifecycles extends Disposable {
	private readonly channel = this.register(new Channel<InstanceId>());
	private readonly knownBoots = new Map<BootId, KnownInstance>();
	/** When boots that are gone were last heard; echoes of them that still go round are not believed. */
	private readonly endedBoots = new Map<BootId, number>();

	/** The id of each instance one of whose boots changed its state. */
	readonly onDidChange: Stream<InstanceId> = this.channel.stream;

	constructor(
		private readonly auditTrail: IAuditTrail,
		private readonly timeouts: SilenceTimeouts = defaultSilenceTimeouts,
	) {
		super();
	}

	/** A view arrived, from the instance itself or through another one. */
	noteReport(report: InstanceReport, sign: string, nowMs: number): void {
		if (this.endedBoots.has(report.boot) || report.ageMs >= this.timeouts.removeAfterMs) {
			return;
		}
		const reportedMs = nowMs - report.ageMs;
		const known = this.knownBoots.get(report.boot) ?? this.openLifecycle(report, reportedMs, sign);
		known.lifecycle.noteReport(reportedMs, report.isLeaving, sign);
	}

	/** The instance list names an instance as leaving; it speaks of the boots already known. */
	noteListedLeaving(instance: InstanceId): void {
		this.noteListed(instance, true);
	}

	/** The instance list names an instance as live. */
	noteListedLive(instance: InstanceId): void {
		this.noteListed(instance, false);
	}

	/** This process slept for `sleptMs` beyond a tick's period; call before `expire`. */
	noteProcessPause(pausedMs: number): void {
		for (const known of this.knownBoots.values()) {
			known.lifecycle.noteProcessPause(pausedMs);
		}
	}

	/** Judges silence; call about once a second. */
	expire(nowMs: number): void {
		for (const known of [...this.knownBoots.values()]) {
			known.lifecycle.expire(nowMs);
		}
		for (const [boot, lastReportMs] of [...this.endedBoots]) {
			if (nowMs - lastReportMs >= this.timeouts.removeAfterMs) {
				this.endedBoots.delete(boot);
			}
		}
	}

	/** The boot of an instance that was heard last, or undefined. */
	findLastReported(instance: InstanceId): KnownInstance | undefined {
		return this.listBoots(instance).reduce<KnownInstance | undefined>(
			(newest, known) =>
				newest === undefined || known.lifecycle.getLastReportMs() > newest.lifecycle.getLastReportMs()
					? known
					: newest,
			undefined,
		);
	}

	findBoot(boot: BootId): KnownInstance | undefined {
		return this.knownBoots.get(boot);
	}

	/** Boots that take new callers. */
	listLive(): readonly KnownInstance[] {
		return [...this.knownBoots.values()].filter(known => known.lifecycle.getState() === InstanceState.Live);
	}

	private noteListed(instance: InstanceId, isLeaving: boolean): void {
		for (const known of this.listBoots(instance)) {
			known.lifecycle.noteListed(isLeaving);
		}
	}

	private listBoots(instance: InstanceId): readonly KnownInstance[] {
		return [...this.knownBoots.values()].filter(known => known.instance === instance);
	}

	private openLifecycle(report: InstanceReport, reportedMs: number, sign: string): KnownInstance {
		const { instance, boot, peerUrl } = report;
		this.endPredecessors(report, reportedMs);
		const lifecycle = new InstanceLifecycle(reportedMs, this.timeouts, change => {
			this.noteChange(instance, boot, change, reportedMs);
		});
		const known = { instance, boot, peerUrl, lifecycle };
		this.knownBoots.set(boot, known);
		this.record(known, 'unknown', InstanceState.Live, sign);
		return known;
	}

	private endPredecessors(report: InstanceReport, reportedMs: number): void {
		for (const known of this.listBoots(report.instance)) {
			if (known.peerUrl === report.peerUrl && known.lifecycle.getLastReportMs() < reportedMs) {
				known.lifecycle.end(`boot ${report.boot} answers at its address`);
			}
		}
	}

	private noteChange(instance: InstanceId, boot: BootId, change: InstanceChange, openedMs: number): void {
		const known = this.knownBoots.get(boot);
		if (change.to === InstanceState.Gone) {
			this.knownBoots.delete(boot);
			this.endedBoots.set(boot, known?.lifecycle.getLastReportMs() ?? openedMs);
		}
		this.record({ instance, boot }, change.from, change.to, change.sign);
	}

	private record(
		of: Pick<KnownInstance, 'instance' | 'boot'>,
		from: string,
		to: InstanceState,
		sign: string,
	): void {
		this.auditTrail.record({
			kind: AuditKind.Instance,
			subject: `${of.instance} boot ${of.boot}`,
			from,
			to,
			sign,
			manifestVersion: undefined,
		});
		this.channel.emit(of.instance);
	}
}
