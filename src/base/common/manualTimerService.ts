/**
 * A timer service whose clock only moves when it is advanced. Due callbacks run in the order of their time and, at equal
 * times, in the order in which they were scheduled, so a run is deterministic.
 */

import { Heap } from 'heap-js';
import type { Stream } from 'most';
import type { IDisposable } from './lifecycle';
import { toDisposable } from './lifecycle';
import { watchScheduledTicks } from './scheduledTicks';
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

/** The virtual clock of tests, benchmarks and simulations. */
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
		return watchScheduledTicks(this, periodMs);
	}

	/** Advances the clock and runs the callbacks that become due. */
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

	/** Advances the clock without running due callbacks, like the clock of a process that is frozen. */
	advanceWithoutTimers(durationMs: number): void {
		this.nowMs += durationMs;
	}
}
