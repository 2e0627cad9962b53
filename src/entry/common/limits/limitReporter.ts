/**
 * Reports the demand at one entry to the coordinator of its zone, and applies the answers. A coordinator that does not
 * answer is left out for a while, and the next entry in the order gets the report at once.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId, ManifestVersion } from '../../../core/ids/common/ids';
import { pickCoordinator } from './coordinatorRanking';
import type { EntryAdmission } from './entryAdmission';
import type { LimitCoordinator, CoordinatorIdentity } from './limitCoordinator';
import type { DemandAnswer, DemandReport } from './limitMessages';
import type { ILimitPeers, IZoneDirectory } from './zoneDirectory';
import { PeerFailure } from './zoneDirectory';

/** Called when another entry becomes the coordinator of this one. */
export type ObserveCoordinator = (instance: InstanceId, reason: string) => void;

/** What the reporter works on. */
export interface ReporterParts {
	readonly self: CoordinatorIdentity;
	readonly admission: EntryAdmission;
	readonly coordinator: LimitCoordinator;
	readonly directory: IZoneDirectory;
	readonly peers: ILimitPeers;
	readonly timers: ITimerService;
	readonly getManifestVersion: () => ManifestVersion;
	readonly observeCoordinator: ObserveCoordinator;
	/** Called when this entry reports to itself. */
	readonly observeOwnReport: () => void;
	/** Called after each answer that was applied. */
	readonly observeAnswer: (answer: DemandAnswer) => void;
}

/**
 * Interval while there are requests to report, and the one of an entry without any. Such an entry admits its next request
 * by its last answer, so in a large fleet the idle interval decides how much a jump of the demand exceeds the limit.
 */
const minIntervalMs = 250;
const idleIntervalMs = 500;
const maxIntervalMs = 1_000;

/** Shortest time between two reports when demand grows suddenly. */
const urgentIntervalMs = 100;

/**
 * Bytes that a report with its answer may use on average. Each is sent by one entry and received by another, so that
 * control of limits uses twice as much, and leaves some of the 2 KB/s for the sums of the zones.
 */
const bytesPerMs = 0.6;
/** Headers and framing of a call with its answer, and the fields of a report other than its items. */
const callBytes = 150;
const itemBytes = 9;
const fractionBytes = 9;

/** Above the time for which a busy process usually answers late. */
const answerTimeoutMs = 600;

/** Time for which an entry that did not answer is not asked. */
const excludedMs = 5_000;
/** An entry of an earlier release may be replaced by a later one. */
const unsupportedMs = 60_000;

export class LimitReporter extends Disposable {
	private readonly excludedUntil = new Map<InstanceId, number>();
	private timer: IDisposable | undefined;
	private answerLimit: IDisposable | undefined;
	private isDisposed = false;
	private dueMs = Number.POSITIVE_INFINITY;
	private reportedMs = Number.NEGATIVE_INFINITY;
	private coordinatorId: InstanceId | undefined;
	private isWaiting = false;
	private intervalMs = minIntervalMs;

	constructor(private readonly parts: ReporterParts) {
		super();
		this.register(
			toDisposable(() => {
				this.isDisposed = true;
				this.timer?.dispose();
				this.answerLimit?.dispose();
			}),
		);
		this.scheduleReport(0);
	}

	/** Returns the entry to which this one reports. */
	getCoordinator(): InstanceId | undefined {
		return this.coordinatorId;
	}

	/** Makes the next report come in time for new requests, or at once after a jump of the demand. */
	noteDemand(isJump: boolean): void {
		const nowMs = this.parts.timers.getNow();
		const dueMs = this.reportedMs + (isJump ? urgentIntervalMs : this.intervalMs);
		if (!this.isWaiting && dueMs < this.dueMs) {
			this.scheduleReport(dueMs - nowMs);
		}
	}

	private scheduleReport(delayMs: number): void {
		const { timers } = this.parts;
		if (this.isDisposed) {
			return;
		}
		this.timer?.dispose();
		this.dueMs = timers.getNow() + Math.max(0, delayMs);
		this.timer = timers.schedule(delayMs, () => {
			this.sendReport('order of the zone');
		});
	}

	private sendReport(reason: string): void {
		const { self, admission, coordinator, peers, timers } = this.parts;
		const nowMs = timers.getNow();
		this.reportedMs = nowMs;
		this.dueMs = Number.POSITIVE_INFINITY;
		this.isWaiting = true;
		const chosen = this.chooseCoordinator(nowMs, reason);
		const report: DemandReport = {
			instance: self.instance,
			zone: self.zone,
			manifestVersion: this.parts.getManifestVersion(),
			...admission.takeCounts(nowMs),
		};
		if (chosen === self.instance) {
			this.parts.observeOwnReport();
			this.applyAnswer(report, coordinator.receiveReport(report, nowMs));
			return;
		}
		let isOver = false;
		const finish = (answer: DemandAnswer | undefined, failure?: PeerFailure): void => {
			if (isOver || this.isDisposed) {
				return;
			}
			isOver = true;
			this.answerLimit?.dispose();
			if (answer === undefined) {
				this.handleFailure(report, chosen, failure ?? PeerFailure.Unreachable);
			} else {
				this.applyAnswer(report, answer);
			}
		};
		this.answerLimit = timers.schedule(answerTimeoutMs, () => {
			finish(undefined);
		});
		peers.sendReport(chosen, report, finish);
	}

	private chooseCoordinator(nowMs: number, reason: string): InstanceId {
		const { self, directory } = this.parts;
		for (const [instance, untilMs] of this.excludedUntil) {
			if (nowMs >= untilMs) {
				this.excludedUntil.delete(instance);
			}
		}
		const own = directory.listZones().find(({ zone }) => zone === self.zone);
		const candidates = (own?.live ?? []).filter(instance => !this.excludedUntil.has(instance));
		const chosen = pickCoordinator(candidates) ?? self.instance;
		if (chosen !== this.coordinatorId) {
			this.coordinatorId = chosen;
			this.parts.observeCoordinator(chosen, reason);
		}
		return chosen;
	}

	private applyAnswer(report: DemandReport, answer: DemandAnswer): void {
		const { admission, timers, observeAnswer } = this.parts;
		this.isWaiting = false;
		if (answer.isReady) {
			admission.applyAnswer(answer, timers.getNow());
			observeAnswer(answer);
		}
		const bytes = callBytes + report.items.length * itemBytes + answer.fractions.length * fractionBytes;
		this.intervalMs = Math.min(maxIntervalMs, Math.max(minIntervalMs, bytes / bytesPerMs));
		const isIdle = report.items.length === 0 && !admission.hasUnreported() && !answer.isClose;
		this.scheduleReport(isIdle ? idleIntervalMs : this.intervalMs);
	}

	private handleFailure(report: DemandReport, chosen: InstanceId, failure: PeerFailure): void {
		const { admission, timers } = this.parts;
		this.isWaiting = false;
		admission.mergeCounts(report.items, report.overMs);
		const untilMs = failure === PeerFailure.Unsupported ? unsupportedMs : excludedMs;
		this.excludedUntil.set(chosen, timers.getNow() + untilMs);
		this.scheduleReport(0);
	}
}
