/**
 * Tracks the prefill work (processing of prompt tokens) that was sent to one inference engine and whose answers
 * have not begun. The load it is designed for is many entries (proxy processes) that send long prompts to the same
 * engine.
 *
 * The work is not counted down with time. If it were, as though the engine served this entry alone, a backlog of
 * seconds would look like one of milliseconds and every entry would keep sending to that engine: of 229 prompts
 * that waited over 300 ms at an engine, half had a predicted wait of less than a twentieth of the actual one.
 * Prompts whose answers have not begun remain counted, however long ago they were sent.
 *
 * The work of other entries is not visible here. Entries rank engines alike and callers are spread over entries,
 * so each other entry is assumed to have as much pending work as the recent average of this one. Its current
 * amount would multiply a single long prompt by the number of entries. With both rules the median predicted wait
 * was 0.94 of the actual one.
 *
 * An engine starts more urgent prompts first, so a request waits only for prompts that are at least as urgent.
 */

/** Pending prefill of one urgency, with its exponential moving average. */
class AveragedPrefill {
	private sumMs = 0;
	private meanMs = 0;
	private updatedMs = 0;

	constructor(private readonly timeConstantMs: number) {}

	getSum(): number {
		return this.sumMs;
	}

	computeMean(nowMs: number): number {
		return this.sumMs + (this.meanMs - this.sumMs) * Math.exp((this.updatedMs - nowMs) / this.timeConstantMs);
	}

	add(prefillMs: number, nowMs: number): void {
		this.meanMs = this.computeMean(nowMs);
		this.updatedMs = nowMs;
		this.sumMs = Math.max(0, this.sumMs + prefillMs);
	}
}

/** Sums the pending prefill of one engine, in milliseconds at the assumed engine speed. */
export class PendingPrefill {
	private readonly prefillByUrgency = new Map<number, AveragedPrefill>();

	/** @param timeConstantMs time in which an earlier value loses 63% of its weight in the mean, in milliseconds */
	constructor(private readonly timeConstantMs: number) {}

	noteSent(urgency: number, prefillMs: number, nowMs: number): void {
		this.getPrefill(urgency).add(prefillMs, nowMs);
	}

	/** Records that the answer to a prompt began, or that its attempt ended before that. */
	noteCompleted(urgency: number, prefillMs: number, nowMs: number): void {
		this.getPrefill(urgency).add(-prefillMs, nowMs);
	}

	/** Sums the pending prefill of this entry's requests that are at least as urgent. */
	sumMs(urgency: number): number {
		return this.sum(urgency, prefill => prefill.getSum());
	}

	/** Returns the moving average of `sumMs`. */
	computeMeanMs(urgency: number, nowMs: number): number {
		return this.sum(urgency, prefill => prefill.computeMean(nowMs));
	}

	private sum(urgency: number, measure: (prefill: AveragedPrefill) => number): number {
		let total = 0;
		for (const [other, prefill] of this.prefillByUrgency) {
			total += other <= urgency ? measure(prefill) : 0;
		}
		return total;
	}

	private getPrefill(urgency: number): AveragedPrefill {
		let prefill = this.prefillByUrgency.get(urgency);
		if (prefill === undefined) {
			prefill = new AveragedPrefill(this.timeConstantMs);
			this.prefillByUrgency.set(urgency, prefill);
		}
		return prefill;
	}
}
