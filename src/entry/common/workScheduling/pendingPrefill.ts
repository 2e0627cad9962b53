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
 * The work of other entries is not visible here. Without a recent load report (`otherRequests.ts`), each other entry is
 * assumed to have as much pending work as the recent average of this one. Its current amount would multiply a single
 * long prompt by the number of entries.
 *
 * An engine starts more urgent prompts first, so a request waits only for prompts that are at least as urgent.
 */

/** A sum with its exponential moving average. */
class AveragedSum {
	private total = 0;
	private mean = 0;
	private updatedMs = 0;

	constructor(private readonly timeConstantMs: number) {}

	getTotal(): number {
		return this.total;
	}

	computeMean(nowMs: number): number {
		return this.total + (this.mean - this.total) * Math.exp((this.updatedMs - nowMs) / this.timeConstantMs);
	}

	add(amount: number, nowMs: number): void {
		this.mean = this.computeMean(nowMs);
		this.updatedMs = nowMs;
		this.total = Math.max(0, this.total + amount);
	}
}

/** Sums the pending prefill of one engine, in milliseconds at the assumed engine speed. */
export class PendingPrefill {
	private readonly prefillByUrgency = new Map<number, AveragedSum>();
	private readonly prompts: AveragedSum;

	/** @param timeConstantMs time in which an earlier value loses 63% of its weight in the mean, in milliseconds */
	constructor(private readonly timeConstantMs: number) {
		this.prompts = new AveragedSum(timeConstantMs);
	}

	/** Number of prompts whose answers have not begun. */
	get count(): number {
		return this.prompts.getTotal();
	}

	noteSent(urgency: number, prefillMs: number, nowMs: number): void {
		this.prompts.add(1, nowMs);
		this.getPrefill(urgency).add(prefillMs, nowMs);
	}

	/** Records that the answer to a prompt began, or that its attempt ended before that. */
	noteCompleted(urgency: number, prefillMs: number, nowMs: number): void {
		this.prompts.add(-1, nowMs);
		this.getPrefill(urgency).add(-prefillMs, nowMs);
	}

	/** Sums the pending prefill of this entry's requests that are at least as urgent. */
	sumMs(urgency: number): number {
		return this.sum(urgency, prefill => prefill.getTotal());
	}

	/** Returns the moving average of `sumMs`. */
	computeMeanMs(urgency: number, nowMs: number): number {
		return this.sum(urgency, prefill => prefill.computeMean(nowMs));
	}

	/** Returns the moving average of `count`. */
	computeMeanCount(nowMs: number): number {
		return this.prompts.computeMean(nowMs);
	}

	/** Lists the moving averages of the prefill of each urgency. */
	listMeans(nowMs: number): readonly { readonly urgency: number; readonly prefillMs: number }[] {
		return [...this.prefillByUrgency].map(([urgency, prefill]) => ({
			urgency,
			prefillMs: prefill.computeMean(nowMs),
		}));
	}

	private sum(urgency: number, measure: (prefill: AveragedSum) => number): number {
		let total = 0;
		for (const [other, prefill] of this.prefillByUrgency) {
			total += other <= urgency ? measure(prefill) : 0;
		}
		return total;
	}

	private getPrefill(urgency: number): AveragedSum {
		let prefill = this.prefillByUrgency.get(urgency);
		if (prefill === undefined) {
			prefill = new AveragedSum(this.timeConstantMs);
			this.prefillByUrgency.set(urgency, prefill);
		}
		return prefill;
	}
}
