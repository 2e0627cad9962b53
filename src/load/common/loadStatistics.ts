/**
 * Collects the request counts and latencies of one run. Latencies are recorded in HDR histograms, which keep three
 * significant digits for every value in constant memory, so that high percentiles stay accurate in long runs.
 */

import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { RequestResult } from './answerCheck';
import { ResultKind } from './answerCheck';

const microsecondsPerMs = 1_000;
const maxLatencyUs = 600_000_000;
const latencySignificantDigits = 3;

/** Number of unsuccessful requests with the same reason. */
export interface ReasonCount {
	readonly reason: string;
	readonly count: number;
}

/** The result of one run. Latencies are in milliseconds and include correct answers only. */
export interface LoadSummary {
	readonly count: number;
	readonly ok: number;
	readonly refused: number;
	readonly failed: number;
	/** Correct answers per second, from the start of the run to the last answer. */
	readonly okPerSecond: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
	/**
	 * 99th percentile of the delay between the planned and the actual send time. A large value means that the load
	 * generator itself was too slow, and the latencies of the run are not valid.
	 */
	readonly sendLagP99Ms: number;
	readonly reasons: readonly ReasonCount[];
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxLatencyUs,
		numberOfSignificantValueDigits: latencySignificantDigits,
	});
}

function recordMs(histogram: Histogram, valueMs: number): void {
	const valueUs = Math.round(valueMs * microsecondsPerMs);
	histogram.recordValue(Math.min(maxLatencyUs, Math.max(0, valueUs)));
}

function readMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}

/** Records the results of the requests of one run. */
export class LoadRecorder {
	private readonly latencies = createHistogram();
	private readonly sendLags = createHistogram();
	private readonly counts = new Map<ResultKind, number>();
	private readonly reasonCounts = new Map<string, number>();

	/** Records that a request was sent `lagMs` after its planned time. */
	recordSend(lagMs: number): void {
		recordMs(this.sendLags, lagMs);
	}

	/** Records the result of a request, `latencyMs` after its planned arrival. */
	recordResult(result: RequestResult, latencyMs: number): void {
		this.counts.set(result.kind, this.getCount(result.kind) + 1);
		if (result.kind === ResultKind.Ok) {
			recordMs(this.latencies, latencyMs);
			return;
		}
		this.reasonCounts.set(result.reason, (this.reasonCounts.get(result.reason) ?? 0) + 1);
	}

	/** Returns the result so far of a run that has lasted `elapsedMs`. */
	createSummary(elapsedMs: number): LoadSummary {
		const ok = this.getCount(ResultKind.Ok);
		const refused = this.getCount(ResultKind.Refused);
		const failed = this.getCount(ResultKind.Failed);
		return {
			count: ok + refused + failed,
			ok,
			refused,
			failed,
			okPerSecond: elapsedMs > 0 ? (ok * 1_000) / elapsedMs : 0,
			p50Ms: readMs(this.latencies, 50),
			p90Ms: readMs(this.latencies, 90),
			p99Ms: readMs(this.latencies, 99),
			maxMs: readMs(this.latencies, 100),
			sendLagP99Ms: readMs(this.sendLags, 99),
			reasons: this.listReasons(),
		};
	}

	private getCount(kind: ResultKind): number {
		return this.counts.get(kind) ?? 0;
	}

	private listReasons(): ReasonCount[] {
		return [...this.reasonCounts]
			.map(([reason, count]) => ({ reason, count }))
			.sort((left, right) => right.count - left.count);
	}
}
