/**
 * Finds targets that are slow beside their peers. Load pattern: one target of eight answers five times
 * slower, for a while or for good. Without it that target keeps its slots full of late answers and the
 * slowest hundredth of all callers waits for it. A fixed limit would not do: when the whole service is
 * slow, every target would pass it and none would be left.
 *
 * Each run gives one observation, the logarithm of its time over the time expected for its class; a running
 * mean of it is compared with the median of the peers. A slow target is weighed down first. Only far above
 * the median does it get nothing but trial requests, one at a time; by these it comes back. At 2.5 times
 * the median a healthy target is over five deviations of the running mean away, for runs whose times
 * vary by a factor of two; a target that is five times slower is found after ten runs, the fewest that are compared.
 */

import type { TargetId } from '../../../core/ids/common/ids';
import type { OutlierPolicy } from './policy';

interface TargetSpeed {
	observations: number;
	/** Running mean of the logarithm of slowness. */
	meanLog: number;
	isEjected: boolean;
	nextTrialMs: number;
	isOnTrial: boolean;
}

function computeMedian(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** Compares the targets of one service. */
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

	/** A run on the target took `ranMs` where `expectedMs` was usual for its class. */
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

	/** Compares all targets and decides anew which are avoided; called a few times a second. */
	compare(): void {
		const compared = [...this.records.values()].filter(
			record => record.observations >= this.policy.minObservations,
		);
		this.medianLog = computeMedian(compared.map(record => record.meanLog));
		this.releaseRecovered();
		this.markOutliers(compared);
		this.ejectedCount = this.countEjected();
	}

	/** Slowness beside the median, 1 where it is tolerated or unknown. */
	getSlowness(id: TargetId): number {
		const record = this.records.get(id);
		if (record === undefined || record.observations < this.policy.minObservations) {
			return 1;
		}
		const slowness = this.computeSlowness(record);
		return slowness > this.policy.toleratedSlowness ? slowness : 1;
	}

	/** Whether any target is avoided. */
	hasEjected(): boolean {
		return this.ejectedCount > 0;
	}

	isEjected(id: TargetId): boolean {
		return this.records.get(id)?.isEjected ?? false;
	}

	/** Whether an avoided target may be sent a trial request now. */
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

	/** Avoids the slowest, up to a share of all targets: what is left could not carry the load otherwise. */
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
