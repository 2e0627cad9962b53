/**
 * Estimates the requests of other entries (proxy processes) at one inference engine, from the load that engines report
 * with their answers.
 *
 * The load it is designed for is many entries before about as many engines, all of them busy. An entry has no request
 * at most engines, and the last report of an engine is older than the requests that run there. If an entry assumed that
 * the others have as many requests as itself, most engines would look idle to it. Entries would go on sending to
 * engines whose slots are all taken, and requests would wait there, where they can no longer be ordered, refused or
 * sent to another region.
 *
 * The engines of a service share the load of a region, and together they report often. So while an engine has not
 * reported for some hundred milliseconds, it is assumed to have the load that the engines reported on average. This is
 * not assumed of an engine that has never reported, or not for long, for example because it has just started: while the
 * others are busy nothing would be sent there, so it would never report.
 */

/** Requests of other entries at one engine, as of a time. */
export interface ReportedRequests {
	readonly running: number;
	/** Requests whose answers have not begun. */
	readonly pending: number;
	/** When the engine reported them, in monotonic milliseconds; negative infinity if it never did. */
	readonly timeMs: number;
}

/** What the engines of a service reported on average, and the work that this is. */
export interface TypicalLoad {
	readonly report: ReportedRequests;
	/** Prefill of each urgency that a pending request of any urgency stands for on average, in milliseconds. */
	readonly prefillMsPerPending: ReadonlyMap<number, number>;
}

/** Times in which estimates lose 63% of their weight, in milliseconds. */
export interface ReportTimeConstants {
	/** The last report of an engine. */
	readonly reportTimeConstantMs: number;
	/** The average of the reports of all engines. */
	readonly typicalReportTimeConstantMs: number;
	/** The assumption that an engine without a recent report has the average load. */
	readonly unreportedTimeConstantMs: number;
}

export const noReport: ReportedRequests = { running: 0, pending: 0, timeMs: Number.NEGATIVE_INFINITY };
export const noTypicalLoad: TypicalLoad = { report: noReport, prefillMsPerPending: new Map() };

/** Averages reports, weighted by their age. The result is as recent as the latest of them. */
export function computeMeanReport(
	reports: readonly ReportedRequests[],
	timeConstantMs: number,
	nowMs: number,
): ReportedRequests {
	let running = 0;
	let pending = 0;
	let totalWeight = 0;
	let timeMs = Number.NEGATIVE_INFINITY;
	for (const report of reports) {
		const weight = computeWeight(report, timeConstantMs, nowMs);
		running += weight * report.running;
		pending += weight * report.pending;
		totalWeight += weight;
		timeMs = Math.max(timeMs, report.timeMs);
	}
	return totalWeight > 0
		? { running: running / totalWeight, pending: pending / totalWeight, timeMs }
		: noReport;
}

/** The estimate for one engine. */
export class OtherRequests {
	private report = noReport;
	private typical = noTypicalLoad;
	private computeLearnedWeight: ((ageMs: number) => number) | undefined;

	constructor(private readonly timeConstants: ReportTimeConstants) {}

	get lastReport(): ReportedRequests {
		return this.report;
	}

	setReport(report: ReportedRequests): void {
		this.report = report;
	}

	/** Sets how the weight of the last report falls with its age, where this is learned from reports. */
	setReportWeight(computeWeightAt: (ageMs: number) => number): void {
		this.computeLearnedWeight = computeWeightAt;
	}

	setTypicalLoad(typical: TypicalLoad): void {
		this.typical = typical;
	}

	/** Whether no request of a more urgent kind was sent to the service lately. */
	isMostUrgent(urgency: number): boolean {
		for (const other of this.typical.prefillMsPerPending.keys()) {
			if (other < urgency) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Estimates the number of running and pending requests.
	 * @param sameAsOwn the estimate without any report: as many as this entry has, for each other entry
	 */
	estimateRequests(sameAsOwn: number, nowMs: number): number {
		const { running, pending } = this.typical.report;
		const typical = weighReport(sameAsOwn, running + pending, this.computeTypicalWeight(nowMs));
		return weighReport(typical, this.report.running + this.report.pending, this.computeReportWeight(nowMs));
	}

	/**
	 * Estimates the prefill of pending requests that are at least as urgent as given, in milliseconds.
	 * @param sameAsOwnMs the estimate without any report
	 */
	estimatePrefillMs(sameAsOwnMs: number, urgency: number, nowMs: number): number {
		const pending = weighReport(
			this.typical.report.pending,
			this.report.pending,
			this.computeReportWeight(nowMs),
		);
		let prefillMs = 0;
		for (const [other, prefillMsPerPending] of this.typical.prefillMsPerPending) {
			prefillMs += other <= urgency ? pending * prefillMsPerPending : 0;
		}
		return weighReport(sameAsOwnMs, prefillMs, this.computeTypicalWeight(nowMs));
	}

	private computeReportWeight(nowMs: number): number {
		if (this.computeLearnedWeight !== undefined) {
			return this.computeLearnedWeight(nowMs - this.report.timeMs);
		}
		return computeWeight(this.report, this.timeConstants.reportTimeConstantMs, nowMs);
	}

	private computeTypicalWeight(nowMs: number): number {
		const { typicalReportTimeConstantMs, unreportedTimeConstantMs } = this.timeConstants;
		return (
			computeWeight(this.typical.report, typicalReportTimeConstantMs, nowMs) *
			computeWeight(this.report, unreportedTimeConstantMs, nowMs)
		);
	}
}

/** Returns the weight of a report: 1 if it is of now, 37% after the time constant. */
function computeWeight({ timeMs }: ReportedRequests, timeConstantMs: number, nowMs: number): number {
	return Math.exp(-Math.max(0, nowMs - timeMs) / timeConstantMs);
}

function weighReport(estimate: number, reported: number, weight: number): number {
	return estimate + (reported - estimate) * weight;
}
