/**
 * Lifecycles of the other entry instances, one for each boot. A process that was frozen and resumes after its instance
 * was replaced reports under the same instance id. If both boots shared a lifecycle, the outdated report would overwrite
 * that of the replacement.
 *
 * A process that was paused itself received no reports meanwhile, and its first check afterwards would remove all other
 * instances. The duration of the pause is therefore not counted as time without a report.
 */

import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import type { BootId, InstanceId } from '../../ids/common/ids';
import type { InstanceChange, SilenceTimeouts } from './instanceLifecycle';
import { InstanceLifecycle, InstanceState } from './instanceLifecycle';

/** The part of an instance's view that concerns its lifecycle. */
export interface InstanceReport {
	readonly instance: InstanceId;
	readonly boot: BootId;
	/** Address at which the instance serves other entries; two boots at one address cannot both be running. */
	readonly peerUrl: string;
	readonly isLeaving: boolean;
	/** Milliseconds since the instance created the report. */
	readonly ageMs: number;
}

/** A boot with its lifecycle. */
export interface KnownInstance {
	readonly instance: InstanceId;
	readonly boot: BootId;
	readonly peerUrl: string;
	readonly lifecycle: InstanceLifecycle;
}

/** Views are exchanged about once a second; three missing ones are more than a lost packet. */
export const defaultSilenceTimeouts: SilenceTimeouts = { suspectAfterMs: 3_500, removeAfterMs: 120_000 };

/** Keeps a lifecycle for each boot of the other instances. */
export class InstanceLifecycles extends Disposable {
	private readonly channel = this.register(new Channel<InstanceId>());
	private readonly knownBoots = new Map<BootId, KnownInstance>();
	/** Time of the last report of each boot that is gone; reports of these boots that peers still forward are ignored. */
	private readonly endedBoots = new Map<BootId, number>();

	/** Emits the instance id when one of its boots changes its state. */
	readonly onDidChange: Stream<InstanceId> = this.channel.stream;

	constructor(
		private readonly auditTrail: IAuditTrail,
		private readonly timeouts: SilenceTimeouts = defaultSilenceTimeouts,
	) {
		super();
	}

	/** Applies a report received from the instance itself or through a peer. */
	noteReport(report: InstanceReport, sign: string, nowMs: number): void {
		if (this.endedBoots.has(report.boot) || report.ageMs >= this.timeouts.removeAfterMs) {
			return;
		}
		const reportedMs = nowMs - report.ageMs;
		const known = this.knownBoots.get(report.boot) ?? this.openLifecycle(report, reportedMs, sign);
		known.lifecycle.noteReport(reportedMs, report.isLeaving, sign);
	}

	/** Marks the known boots of an instance as leaving according to the instance list. */
	noteListedLeaving(instance: InstanceId): void {
		this.noteListed(instance, true);
	}

	/** Marks the known boots of an instance as live according to the instance list. */
	noteListedLive(instance: InstanceId): void {
		this.noteListed(instance, false);
	}

	/** Records that this process was paused for `pausedMs` beyond a timer period; call before `expire`. */
	noteProcessPause(pausedMs: number): void {
		for (const known of this.knownBoots.values()) {
			known.lifecycle.noteProcessPause(pausedMs);
		}
	}

	/** Applies the timeouts for missing reports; call about once a second. */
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

	/** Returns the boot of an instance with the latest report, or undefined. */
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

	/** Returns the boots that accept new callers. */
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
