/**
 * How many sends beyond the first of each request this entry may make. Load pattern: all targets of a
 * service fail, or refuse, at once. Without a bound each request is sent as often as its route allows, and
 * targets that are just coming back meet a multiple of the load under which they fell.
 *
 * The bound holds for the fleet: a share of the requests of a sliding window, and a slack. No entry sees
 * what the others send, so each uses its own requests' share and its part of the slack.
 */

import type { WorkRetryFigures } from './workPolicy';

const slices = 20;

/** Counts events of a sliding window in slices. */
class WindowCount {
	private readonly counts = new Array<number>(slices).fill(0);
	private total = 0;
	private slice = 0;

	constructor(private readonly sliceMs: number) {}

	add(nowMs: number): void {
		this.advance(nowMs);
		this.counts[this.slice % slices] = (this.counts[this.slice % slices] ?? 0) + 1;
		this.total++;
	}

	count(nowMs: number): number {
		this.advance(nowMs);
		return this.total;
	}

	private advance(nowMs: number): void {
		const target = Math.floor(nowMs / this.sliceMs);
		if (target - this.slice >= slices) {
			this.counts.fill(0);
			this.total = 0;
			this.slice = target;
			return;
		}
		while (this.slice < target) {
			this.slice++;
			this.total -= this.counts[this.slice % slices] ?? 0;
			this.counts[this.slice % slices] = 0;
		}
	}
}

/** The repeated sends of one service at one entry. */
export class RetryAllowance {
	private readonly requests: WindowCount;
	private readonly repeats: WindowCount;
	private entries = 1;

	constructor(private readonly figures: WorkRetryFigures) {
		this.requests = new WindowCount(figures.windowMs / slices);
		this.repeats = new WindowCount(figures.windowMs / slices);
	}

	/** Entries of the fleet that share the slack, this one included. */
	setEntries(entries: number): void {
		this.entries = Math.max(1, entries);
	}

	noteRequest(nowMs: number): void {
		this.requests.add(nowMs);
	}

	/** Whether one more repeated send is allowed. */
	isOpen(nowMs: number): boolean {
		const { ratio, slack, usedShare } = this.figures;
		const most = usedShare * (ratio * this.requests.count(nowMs) + slack / this.entries);
		return this.repeats.count(nowMs) + 1 <= most;
	}

	noteRepeat(nowMs: number): void {
		this.repeats.add(nowMs);
	}
}
