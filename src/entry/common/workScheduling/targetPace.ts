/**
 * Estimates from a target's reports how long work takes there, as a multiple of the usual time.
 *
 * The load it is designed for is targets that differ in speed by a factor of two or more and have slow periods of some
 * tenths of a second. Two estimates are kept. The lasting one is the mean over some independent reports, and is kept
 * while nothing is sent to the target. The recent one begins at the last report and returns to the lasting one as the
 * report ages, by the learned autocorrelation (`paceMemory.ts`). It is the least-squares prediction of the slowness at a
 * time from the last report.
 *
 * A target that has not reported counts as the others of its service do on average. A target that answers without
 * reporting its slowness has the pace 1, and its answer times alone say how slow it is (`targetLoadModel.ts`).
 */

import { SlownessSource } from '../scheduling/serviceScheduler';
import type { PaceMemory } from './paceMemory';

/** Parameters of the lasting estimate. */
export interface PaceParameters {
	/** Number of independent reports that the lasting slowness averages. */
	readonly averagedPaceReports: number;
	/** Number of reports that count as much as the mean of the other targets. */
	readonly typicalPaceReports: number;
	/** Bounds of a reported slowness. */
	readonly minReportedPace: number;
	readonly maxReportedPace: number;
}

interface PaceReport {
	readonly slowness: number;
	readonly timeMs: number;
}

/** Successive answers without a slowness after which a target counts as one that does not report it. */
const maxMissingReports = 3;

/** How far beyond the boundary of two classes of speed a target has to be to change its class. */
const speedClassHysteresis = 0.15;

/** Independent reports from which on the deviations from their mean say something about the autocorrelation. */
const minLearningReports = 3;

/** The reported slowness of one target. */
export class TargetPace {
	private mean = 1;
	private reports = 0;
	private typical = 1;
	private last: PaceReport | undefined;
	private missingReports = 0;
	private hasOnlyMissing = false;
	private speedClass = 0;

	constructor(
		private readonly memory: PaceMemory,
		private readonly parameters: PaceParameters,
	) {}

	/** Whether the target reports its slowness. */
	get isReported(): boolean {
		return this.last !== undefined;
	}

	get source(): SlownessSource {
		if (this.isReported) {
			return SlownessSource.Reports;
		}
		return this.hasOnlyMissing ? SlownessSource.AnswerTimes : SlownessSource.OtherTargets;
	}

	/** The slowness over seconds. */
	get lasting(): number {
		if (this.last === undefined) {
			return this.hasOnlyMissing ? 1 : this.typical;
		}
		const { typicalPaceReports } = this.parameters;
		const sum = this.mean * this.reports + this.typical * typicalPaceReports;
		return sum / (this.reports + typicalPaceReports);
	}

	/** Sets the mean slowness of the service's targets that report one; 1 if none does. */
	setTypical(typical: number): void {
		this.typical = typical;
		const speedClass = Math.log2(typical / this.lasting);
		if (Math.abs(speedClass - this.speedClass) > 0.5 + speedClassHysteresis) {
			this.speedClass = Math.round(speedClass);
		}
	}

	/**
	 * The relative number of shared prompt parts that the target should keep: a power of two of its speed relative to the
	 * others. All entries have to find the same owner of a part, and their estimates differ by some percent, so the number
	 * changes only when the speed is clearly nearer to another power of two.
	 */
	get placementWeight(): number {
		return 2 ** this.speedClass;
	}

	/** Records the slowness of a load report; undefined if the report names none. */
	noteReport(slowness: number | undefined, timeMs: number): void {
		if (slowness === undefined) {
			this.noteMissing();
			return;
		}
		const { minReportedPace, maxReportedPace, averagedPaceReports } = this.parameters;
		const report = { slowness: Math.min(maxReportedPace, Math.max(minReportedPace, slowness)), timeMs };
		this.missingReports = 0;
		this.hasOnlyMissing = false;
		const { last } = this;
		if (last !== undefined && timeMs < last.timeMs) {
			return;
		}
		const ageMs = last === undefined ? Number.POSITIVE_INFINITY : timeMs - last.timeMs;
		const newShare = last === undefined ? 1 : 1 - this.memory.computeShare(ageMs);
		if (last !== undefined && this.reports >= minLearningReports) {
			const { lasting } = this;
			this.memory.notePair(last.slowness / lasting - 1, report.slowness / lasting - 1, ageMs);
		}
		this.reports = Math.min(averagedPaceReports, this.reports + newShare);
		if (this.reports > 0) {
			this.mean += ((report.slowness - this.mean) * newShare) / this.reports;
		}
		this.last = report;
	}

	/** Forgets all reports, because another process runs at the target. */
	clear(): void {
		this.reports = 0;
		this.mean = 1;
		this.last = undefined;
		this.missingReports = 0;
		this.hasOnlyMissing = false;
	}

	/** Estimates the slowness at a time. */
	estimate(timeMs: number): number {
		const { last, lasting } = this;
		if (last === undefined) {
			return lasting;
		}
		return lasting + (last.slowness - lasting) * this.memory.computeShare(timeMs - last.timeMs);
	}

	/** Returns the age of the last report, or undefined without one. */
	findReportAgeMs(nowMs: number): number | undefined {
		return this.last === undefined ? undefined : nowMs - this.last.timeMs;
	}

	private noteMissing(): void {
		this.missingReports++;
		if (this.last === undefined || this.missingReports >= maxMissingReports) {
			this.clear();
			this.hasOnlyMissing = true;
		}
	}
}

/** Returns the mean lasting slowness of the targets that report one; 1 if none does. */
export function computeTypicalPace(paces: readonly TargetPace[]): number {
	const reported = paces.filter(({ isReported }) => isReported);
	return reported.length === 0
		? 1
		: reported.reduce((sum, { lasting }) => sum + lasting, 0) / reported.length;
}
