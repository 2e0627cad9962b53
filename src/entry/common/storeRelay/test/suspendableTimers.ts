/**
 * The timers of one machine on a shared virtual clock. While the machine is suspended, its monotonic clock stands still and no
 * callback runs; the shared clock, which is the time of day, goes on.
 */

import type { Stream } from 'most';
import type { IDisposable } from '../../../../base/common/lifecycle';
import { toDisposable } from '../../../../base/common/lifecycle';
import type { ManualTimerService } from '../../../../base/common/manualTimerService';
import { watchScheduledTicks } from '../../../../base/common/scheduledTicks';
import type { ITimerService, Tick } from '../../../../base/common/timerService';

export class SuspendableTimers implements ITimerService {
	private suspendedMs = 0;
	private suspendedSinceMs: number | undefined;
	private readonly onResume: (() => void)[] = [];

	constructor(private readonly shared: ManualTimerService) {}

	get isSuspended(): boolean {
		return this.suspendedSinceMs !== undefined;
	}

	getNow(): number {
		return (this.suspendedSinceMs ?? this.shared.getNow()) - this.suspendedMs;
	}

	schedule(delayMs: number, run: () => void): IDisposable {
		const dueMs = this.getNow() + Math.max(0, delayMs);
		let isCancelled = false;
		const check = (): void => {
			if (isCancelled) {
				return;
			}
			if (this.isSuspended) {
				this.onResume.push(check);
			} else if (this.getNow() < dueMs) {
				this.shared.schedule(dueMs - this.getNow(), check);
			} else {
				run();
			}
		};
		this.shared.schedule(delayMs, check);
		return toDisposable(() => {
			isCancelled = true;
		});
	}

	watchTicks(periodMs: number): Stream<Tick> {
		return watchScheduledTicks(this, periodMs);
	}

	async waitUntilAwake(): Promise<void> {
		if (this.isSuspended) {
			await new Promise<void>(resolve => {
				this.onResume.push(resolve);
			});
		}
	}

	pause(): void {
		this.suspendedSinceMs = this.shared.getNow();
	}

	resume(): void {
		this.suspendedMs += this.shared.getNow() - (this.suspendedSinceMs ?? this.shared.getNow());
		this.suspendedSinceMs = undefined;
		this.onResume.splice(0).forEach(run => {
			run();
		});
	}
}
