/**
 * A simulated engine's log of prefix cache changes. Events are published with a delay, and some are lost.
 */

import type { IRandom } from '../../base/common/random';

export enum CacheEventKind {
	Stored = 'stored',
	Evicted = 'evicted',
}

/** A prefix that was stored in the cache or evicted from it. */
export interface CacheEvent {
	/** Numbers all events, including lost ones, so that readers can detect gaps. */
	readonly sequence: number;
	readonly kind: CacheEventKind;
	readonly prefixKey: string;
}

interface TimedEvent {
	readonly recordedAtMs: number;
	readonly event: CacheEvent;
}

const maxEvents = 4_096;
const percentScale = 100;

/** Keeps the most recent events, except those that are lost on purpose. */
export class CacheEventLog {
	private readonly events: TimedEvent[] = [];
	private lastSequence = 0;

	constructor(private readonly random: IRandom) {}

	/** Records an event, or drops it with a probability of `lossPercent`. */
	record(kind: CacheEventKind, prefixKey: string, nowMs: number, lossPercent: number): void {
		const sequence = ++this.lastSequence;
		if (this.random.pickFraction() * percentScale < lossPercent) {
			return;
		}
		this.events.push({ recordedAtMs: nowMs, event: { sequence, kind, prefixKey } });
		if (this.events.length > maxEvents) {
			this.events.shift();
		}
	}

	/** Lists the events after a sequence number that are at least `lagMs` old, oldest first. */
	list(afterSequence: number, nowMs: number, lagMs: number): CacheEvent[] {
		return this.events
			.filter(({ recordedAtMs, event }) => event.sequence > afterSequence && recordedAtMs <= nowMs - lagMs)
			.map(({ event }) => event);
	}
}
