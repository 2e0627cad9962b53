/**
 * Tracks which entries the campaign itself has made unreachable, and when each became reachable again.
 * Invariants on all reachable entries are checked only at entries that were reachable for the whole period.
 */

export class EntryDisruptions {
	private readonly activeCounts = new Map<string, number>();
	private readonly lastEndMs = new Map<string, number>();

	begin(entry: string): void {
		this.activeCounts.set(entry, (this.activeCounts.get(entry) ?? 0) + 1);
	}

	/**
	 * Ends one disruption. Disruptions of an entry may overlap: it is reachable again when all have ended.
	 */
	end(entry: string, nowMs: number): void {
		this.activeCounts.set(entry, (this.activeCounts.get(entry) ?? 1) - 1);
		this.lastEndMs.set(entry, nowMs);
	}

	/** Whether no disruption of the entry was active from `sinceMs` until now. */
	isUndisruptedSince(entry: string, sinceMs: number): boolean {
		const isDisrupted = (this.activeCounts.get(entry) ?? 0) > 0;
		return !isDisrupted && (this.lastEndMs.get(entry) ?? Number.NEGATIVE_INFINITY) < sinceMs;
	}
}
