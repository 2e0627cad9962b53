/**
 * Counts and latencies of one run. Latencies go into HDR histograms, which keep three digits at any size
 * in constant memory, so a run's tail is exact whatever its length.
 */

import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { AnswerVerdict } from './answerCheck';
import { ResultKind } from './answerCheck';

const microsecondsPerMs = 1_000;
const highestLatencyUs = 600_000_000;
const latencyDigits = 3;

/** How often something went wrong in one way. */
export interface ReasonCount {
	readonly reason: string;
	readonly count: number;
}

/** The result of one run. Latencies are those of right answers, in milliseconds. */
export interface LoadSummary {
	readonly count: number;
	readonly ok: number;
	readonly refused: number;
	readonly failed: number;
	/** Right answers a second, over the time from the first arrival to the last answer. */
	readonly okPerSecond: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
	/** How late the tool itself sent requests, at its 99th percentile: large values spoil the run. */
	readonly sendLagP99Ms: number;
	readonly reasons: readonly ReasonCount[];
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestLatencyUs,
		numberOfSignificantValueDigits: latencyDigits,
	});
}

function recordMs(histogram: Histogram, valueMs: number): void {
	const valueUs = Math.round(valueMs * microsecondsPerMs);
	histogram.recordValue(Math.min(highestLatencyUs, Math.max(0, valueUs)));
}

function readMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}

/** Gathers the results of one run. */
export class LoadRecorder {
	private readonly latencies = createHistogram();
	private readonly sendLags = createHistogram();
	private readonly counts = new Map<ResultKind, number>();
	private readonly reasonCounts = new Map<string, number>();

	/** Notes that a request left `lagMs` after its planned time. */
	noteSent(lagMs: number): void {
		recordMs(this.sendLags, lagMs);
	}

	/** Notes the end of a request, `latencyMs` after its planned arrival. */
	noteEnd(verdict: AnswerVerdict, latencyMs: number): void {
		this.counts.set(verdict.kind, this.getCount(verdict.kind) + 1);
		if (verdict.kind === ResultKind.Ok) {
			recordMs(this.latencies, latencyMs);
			return;
		}
		this.reasonCounts.set(verdict.reason, (this.reasonCounts.get(verdict.reason) ?? 0) + 1);
	}

	/** The result so far, for a run that has lasted `tookMs`. */
	measure(tookMs: number): LoadSummary {
		const ok = this.getCount(ResultKind.Ok);
		const refused = this.getCount(ResultKind.Refused);
		const failed = this.getCount(ResultKind.Failed);
		return {
			count: ok + refused + failed,
			ok,
			refused,
			failed,
			okPerSecond: tookMs > 0 ? (ok * 1_000) / tookMs : 0,
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
