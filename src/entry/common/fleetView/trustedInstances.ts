/**
 * Caches which instances are not suspected. Requests need them far more often than they change, and in a fleet of hundreds
 * a list that each request builds anew costs more than the decision that it is for. The owner reports each change that
 * can alter the list; the silence of an instance is the only cause that comes with time alone, so the cache keeps the
 * reports by which it can tell that none of the limits has been crossed since.
 */

import type { EntryView } from './entryView';

/** An instance as far as its trust depends on it. */
export interface TrackedInstance {
	readonly view: EntryView;
	/** When the instance published the view, on this process's clock. */
	readonly reportedMs: number;
	readonly consecutiveFailures: number;
}

/** The list of the instances that are not suspected. */
export class TrustedInstances<TRecord extends TrackedInstance> {
	private trusted: readonly TRecord[] | undefined;
	/** A lower bound of the time of the oldest report of a trusted instance. */
	private oldestTrustedMs = Number.POSITIVE_INFINITY;
	/** The latest report of an instance that is suspected only for its silence. */
	private latestSilentMs = Number.NEGATIVE_INFINITY;
	private visits = 0;

	constructor(
		private readonly records: ReadonlyMap<unknown, TRecord>,
		private readonly suspectAfterFailures: number,
	) {}

	/** Number of records visited so far to build the list. */
	get visitCount(): number {
		return this.visits;
	}

	/** Discards the list after a change of an instance other than a newer report of a trusted one. */
	clear(): void {
		this.trusted = undefined;
	}

	/** Returns the same array until the list changes. */
	list(suspectTimeoutMs: number, nowMs: number): readonly TRecord[] {
		const hasNewSuspect = nowMs - this.oldestTrustedMs > suspectTimeoutMs;
		const hasTrustedAgain = nowMs - this.latestSilentMs <= suspectTimeoutMs;
		if (this.trusted === undefined || hasNewSuspect || hasTrustedAgain) {
			this.trusted = this.build(suspectTimeoutMs, nowMs);
		}
		return this.trusted;
	}

	private build(suspectTimeoutMs: number, nowMs: number): readonly TRecord[] {
		this.visits += this.records.size;
		const reached = [...this.records.values()].filter(
			({ consecutiveFailures }) => consecutiveFailures < this.suspectAfterFailures,
		);
		const isSilent = ({ reportedMs }: TRecord): boolean => nowMs - reportedMs > suspectTimeoutMs;
		const trusted = reached.filter(record => !isSilent(record));
		this.oldestTrustedMs = Math.min(...trusted.map(({ reportedMs }) => reportedMs));
		this.latestSilentMs = Math.max(...reached.filter(isSilent).map(({ reportedMs }) => reportedMs));
		return trusted;
	}
}
