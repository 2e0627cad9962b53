/**
 * The engine's log of what entered and left its prefix cache, published late and with gaps.
 */

import type { IRandom } from '../../base/common/random';

export enum CacheEventKind {
	Stored = 'stored',
	Evicted = 'evicted',
}

/** One change of the cache. */
export interface CacheEvent {
	/** Counts every event, also those that are lost, so that readers can see a gap. */
	readonly sequence: number;
	readonly kind: CacheEventKind;
	readonly prefixKey: string;
}

interface TimedEvent {
	readonly atMs: number;
	readonly event: CacheEvent;
}

const mostEvents = 4_096;
const wholePercent = 100;

/** Keeps the newest events that were not lost. */
export class CacheEventLog {
	private readonly events: TimedEvent[] = [];
	private lastSequence = 0;

	constructor(private readonly random: IRandom) {}

	/** Notes an event; `lossPercent` of them never reach a reader. */
	note(kind: CacheEventKind, prefixKey: string, nowMs: number, lossPercent: number): void {
		const sequence = ++this.lastSequence;
		if (this.random.pickFraction() * wholePercent < lossPercent) {
			return;
		}
		this.events.push({ atMs: nowMs, event: { sequence, kind, prefixKey } });
		if (this.events.length > mostEvents) {
			this.events.shift();
		}
	}

	/** Events after a sequence number that are at least `lagMs` old, oldest first. */
	list(afterSequence: number, nowMs: number, lagMs: number): CacheEvent[] {
		return this.events
			.filter(({ atMs, event }) => event.sequence > afterSequence && atMs <= nowMs - lagMs)
			.map(({ event }) => event);
	}
}
