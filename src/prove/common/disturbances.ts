/**
 * Which entries are out of reach by the campaign's own doing, and since when they are back. What is
 * promised of all reachable entries is judged only at those that were reachable the whole time.
 */

export class Disturbances {
	private readonly openCounts = new Map<string, number>();
	private readonly endedMs = new Map<string, number>();

	begin(entry: string): void {
		this.openCounts.set(entry, (this.openCounts.get(entry) ?? 0) + 1);
	}

	/** Several disturbances of one entry may overlap; it is back when all have ended. */
	end(entry: string, nowMs: number): void {
		this.openCounts.set(entry, (this.openCounts.get(entry) ?? 1) - 1);
		this.endedMs.set(entry, nowMs);
	}

	/** Whether the entry was left alone from `sinceMs` until now. */
	isUndisturbedSince(entry: string, sinceMs: number): boolean {
		const isOpen = (this.openCounts.get(entry) ?? 0) > 0;
		return !isOpen && (this.endedMs.get(entry) ?? Number.NEGATIVE_INFINITY) < sinceMs;
	}
}
