/**
 * The timers of one process on a shared virtual clock. While the process is stalled, nothing runs; what has become due
 * runs at the end of the stall.
 */

import type { Stream } from 'most';
import type { IDisposable } from '../../../base/common/lifecycle';
import { toDisposable } from '../../../base/common/lifecycle';
import { watchScheduledTicks } from '../../../base/common/scheduledTicks';
import type { ITimerService, Tick } from '../../../base/common/timerService';

/** Timers that can be stalled apart from those of other processes. */
export class StallableTimers implements ITimerService {
	private stalledUntilMs = 0;

	constructor(private readonly clock: ITimerService) {}

	getNow(): number {
		return this.clock.getNow();
	}

	pause(durationMs: number): void {
		this.stalledUntilMs = this.getNow() + durationMs;
	}

	schedule(delayMs: number, run: () => void): IDisposable {
		let timer = this.clock.schedule(delayMs, () => {
			const leftMs = this.stalledUntilMs - this.getNow();
			if (leftMs > 0) {
				timer = this.schedule(leftMs, run);
				return;
			}
			run();
		});
		return toDisposable(() => {
			timer.dispose();
		});
	}

	watchTicks(periodMs: number): Stream<Tick> {
		return watchScheduledTicks(this, periodMs);
	}
}
