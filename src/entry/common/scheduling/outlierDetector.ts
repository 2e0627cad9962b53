/**
 * Detects targets that are slow compared with their peers (outlier ejection). If one target of eight answers
 * five times slower, temporarily or permanently, its slots otherwise stay full of late answers and the slowest
 * hundredth of all callers waits for it. A fixed limit on the response time would not work: when the whole
 * service is slow, it would eject every target.
 *
 * Each run gives one observation: the logarithm of the run time divided by the time expected for its class. The
 * running mean of a target is compared with the median of all targets. A slow target first gets a lower weight.
 * Far above the median the target is ejected: it gets only trial requests, one at a time, and returns when
 * these are fast enough. At 2.5 times the median a healthy target is over five deviations of the running mean
 * away, for run times that vary by a factor of two. A target that is five times slower is detected after ten
 * runs, the minimum for a comparison.
 */

import type { TargetId } from '../../../core/ids/common/ids';
import type { OutlierPolicy } from './policy';

/** The observed speed of one target. */
interface TargetSpeed {
	observations: number;
	/** Running mean of the logarithm of the slowness. */
	meanLog: number;
	isEjected: boolean;
	nextTrialMs: number;
	isOnTrial: boolean;
}

function computeMedian(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** Detects slow targets of one service. */
export class OutlierDetector {
	private readonly records = new Map<TargetId, TargetSpeed>();
	private medianLog = 0;
	private ejectedCount = 0;

	constructor(private readonly policy: OutlierPolicy) {}

	setTargets(targets: readonly TargetId[]): void {
		const present = new Set(targets);
		for (const id of [...this.records.keys()]) {
			if (!present.has(id)) {
				this.records.delete(id);
			}
		}
		for (const id of targets) {
			if (!this.records.has(id)) {
				this.records.set(id, {
					observations: 0,
					meanLog: 0,
					isEjected: false,
					nextTrialMs: 0,
					isOnTrial: false,
				});
			}
		}
	}

	/** Records a run that took `ranMs`, where `expectedMs` was expected. */
	recordRun(id: TargetId, ranMs: number, expectedMs: number): void {
		const record = this.records.get(id);
		if (record === undefined || expectedMs <= 0) {
			return;
		}
		const slowness = Math.log(Math.max(ranMs, 1) / expectedMs);
		const usual = record.isEjected ? this.policy.trialWeight : this.policy.observationWeight;
		record.observations++;
		const weight = Math.max(usual, 1 / record.observations);
		record.meanLog += weight * (slowness - record.meanLog);
	}

	/** Compares all targets and updates which are ejected. */
	compare(): void {
		const compared = [...this.records.values()].filter(
			record => record.observations >= this.policy.minObservations,
		);
		this.medianLog = computeMedian(compared.map(record => record.meanLog));
		this.releaseRecovered();
		this.markOutliers(compared);
		this.ejectedCount = this.countEjected();
	}

	/** Returns the slowness relative to the median, or 1 if it is tolerated or unknown. */
	getSlowness(id: TargetId): number {
		const record = this.records.get(id);
		if (record === undefined || record.observations < this.policy.minObservations) {
			return 1;
		}
		const slowness = this.computeSlowness(record);
		return slowness > this.policy.toleratedSlowness ? slowness : 1;
	}

	/** Whether any target is ejected. */
	hasEjected(): boolean {
		return this.ejectedCount > 0;
	}

	isEjected(id: TargetId): boolean {
		return this.records.get(id)?.isEjected ?? false;
	}

	/** Whether a trial request may be sent to an ejected target now. */
	isTrialDue(id: TargetId, nowMs: number): boolean {
		const record = this.records.get(id);
		return record !== undefined && record.isEjected && !record.isOnTrial && nowMs >= record.nextTrialMs;
	}

	beginTrial(id: TargetId, nowMs: number): void {
		const record = this.records.get(id);
		if (record !== undefined) {
			record.isOnTrial = true;
			record.nextTrialMs = nowMs + this.policy.trialIntervalMs;
		}
	}

	endTrial(id: TargetId): void {
		const record = this.records.get(id);
		if (record !== undefined) {
			record.isOnTrial = false;
		}
	}

	private computeSlowness(record: TargetSpeed): number {
		return Math.exp(record.meanLog - this.medianLog);
	}

	private countEjected(): number {
		return [...this.records.values()].filter(record => record.isEjected).length;
	}

	private releaseRecovered(): void {
		for (const record of this.records.values()) {
			if (record.isEjected && this.computeSlowness(record) <= this.policy.recoverySlowness) {
				record.isEjected = false;
			}
		}
	}

	/**
	 * Ejects the slowest targets, up to a share of all targets, so that the remaining targets can carry the
	 * load.
	 */
	private markOutliers(compared: readonly TargetSpeed[]): void {
		const maxEjected = Math.floor(this.records.size * this.policy.maxEjectedShare);
		let ejected = this.countEjected();
		const slow = compared
			.filter(record => !record.isEjected && this.computeSlowness(record) >= this.policy.ejectionSlowness)
			.sort((left, right) => right.meanLog - left.meanLog);
		for (const record of slow) {
			if (ejected >= maxEjected) {
				return;
			}
			record.isEjected = true;
			ejected++;
		}
	}
}
