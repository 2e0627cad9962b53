/**
 * A timer service whose clock stands still until it is advanced. Due callbacks run in the order of their
 * time and, at equal times, of their scheduling, so a run depends on nothing but its inputs.
 */

import { Heap } from 'heap-js';
import type { Stream } from 'most';
import { Channel } from './channel';
import type { IDisposable } from './lifecycle';
import { toDisposable } from './lifecycle';
import type { ITimerService, Tick } from './timerService';

interface PendingTimer {
	readonly dueMs: number;
	readonly sequence: number;
	readonly run: () => void;
	isCancelled: boolean;
}

function compareTimers(left: PendingTimer, right: PendingTimer): number {
	return left.dueMs - right.dueMs || left.sequence - right.sequence;
}

/** The virtual clock of tests, the bench and the small target model. */
export class ManualTimerService implements ITimerService {
	private readonly pending = new Heap<PendingTimer>(compareTimers);
	private nowMs: number;
	private sequence = 0;

	constructor(startMs = 0) {
		this.nowMs = startMs;
	}

	getNow(): number {
		return this.nowMs;
	}

	schedule(delayMs: number, run: () => void): IDisposable {
		const timer: PendingTimer = {
			dueMs: this.nowMs + Math.max(0, delayMs),
			sequence: this.sequence++,
			run,
			isCancelled: false,
		};
		this.pending.push(timer);
		return toDisposable(() => {
			timer.isCancelled = true;
		});
	}

	watchTicks(periodMs: number): Stream<Tick> {
		const channel = new Channel<Tick>();
		let lastMs = this.nowMs;
		const beat = (): void => {
			const elapsedMs = this.nowMs - lastMs;
			lastMs = this.nowMs;
			this.schedule(periodMs, beat);
			channel.emit({ nowMs: this.nowMs, elapsedMs });
		};
		this.schedule(periodMs, beat);
		return channel.stream;
	}

	/** Moves the clock forward and runs everything that falls due on the way. */
	advance(durationMs: number): void {
		const untilMs = this.nowMs + durationMs;
		for (;;) {
			const next = this.pending.peek();
			if (next === undefined || next.dueMs > untilMs) {
				break;
			}
			this.pending.pop();
			this.nowMs = Math.max(this.nowMs, next.dueMs);
			if (!next.isCancelled) {
				next.run();
			}
		}
		this.nowMs = untilMs;
	}

	/** Moves the clock without running what falls due, as a frozen process would find it on waking. */
	advanceAsleep(durationMs: number): void {
		this.nowMs += durationMs;
	}
}
