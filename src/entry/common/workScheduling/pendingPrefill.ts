/**
 * The reading of prompts that was sent to one engine and has given no first event yet. Load pattern: many
 * entries send long prompts to the same engine. Counted down by the clock, as if the engine read for this
 * entry alone, a backlog of seconds looks like one of milliseconds, and every entry goes on sending there; of
 * 229 prompts that waited over 300 ms at an engine, half were predicted to wait less than a twentieth of it.
 * What has not begun to answer is still ahead, however long ago it was sent.
 *
 * What others sent is not seen. Entries rank engines alike and callers are spread over them, so each of the
 * others is taken to have as much unanswered as this entry on average of late; this one's present amount alone
 * would multiply one long prompt by the number of entries. With both, that median was 0.94 of the true wait,
 * from the decisions of one replayed peak with engines lost.
 *
 * An engine admits the more urgent first, so a request waits for those that are as urgent or more.
 */

/** What one urgency has unanswered. */
class ReadingOfUrgency {
	private sumMs = 0;
	private meanMs = 0;
	private atMs = 0;

	constructor(private readonly fadeMs: number) {}

	getSum(): number {
		return this.sumMs;
	}

	computeMean(nowMs: number): number {
		return this.sumMs + (this.meanMs - this.sumMs) * Math.exp((this.atMs - nowMs) / this.fadeMs);
	}

	add(readingMs: number, nowMs: number): void {
		this.meanMs = this.computeMean(nowMs);
		this.atMs = nowMs;
		this.sumMs = Math.max(0, this.sumMs + readingMs);
	}
}

/** Counts one engine's unanswered reading, in milliseconds of an engine of usual speed. */
export class UnansweredReading {
	private readonly urgencies = new Map<number, ReadingOfUrgency>();

	/** @param fadeMs time in which the mean loses 63% of what was, in milliseconds */
	constructor(private readonly fadeMs: number) {}

	noteSent(urgency: number, readingMs: number, nowMs: number): void {
		this.getReading(urgency).add(readingMs, nowMs);
	}

	/** It began to answer, or ended without. */
	noteSettled(urgency: number, readingMs: number, nowMs: number): void {
		this.getReading(urgency).add(-readingMs, nowMs);
	}

	/** Reading of this entry's requests that are as urgent or more. */
	sumOwn(urgency: number): number {
		return this.sum(urgency, reading => reading.getSum());
	}

	/** The mean of that over the last while. */
	computeMeanOwn(urgency: number, nowMs: number): number {
		return this.sum(urgency, reading => reading.computeMean(nowMs));
	}

	private sum(urgency: number, measure: (reading: ReadingOfUrgency) => number): number {
		let total = 0;
		for (const [other, reading] of this.urgencies) {
			total += other <= urgency ? measure(reading) : 0;
		}
		return total;
	}

	private getReading(urgency: number): ReadingOfUrgency {
		let reading = this.urgencies.get(urgency);
		if (reading === undefined) {
			reading = new ReadingOfUrgency(this.fadeMs);
			this.urgencies.set(urgency, reading);
		}
		return reading;
	}
}
