/**
 * The timer service of a running process, based on Node's monotonic clock. Subscribers with the same period share one
 * timer, so a thousand components with a tick every second cost one wake-up of the event loop per second.
 */

import { performance } from 'node:perf_hooks';
import type { Stream } from 'most';
import { Channel } from '../common/channel';
import type { IDisposable } from '../common/lifecycle';
import { Disposable, toDisposable } from '../common/lifecycle';
import type { ITimerService, Tick } from '../common/timerService';

/** Provides ticks and delays from the clock of the process. Its timers do not keep the process alive. */
export class SystemTimerService extends Disposable implements ITimerService {
	private readonly channels = new Map<number, Channel<Tick>>();

	getNow(): number {
		return performance.now();
	}

	schedule(delayMs: number, run: () => void): IDisposable {
		const handle = setTimeout(run, Math.max(0, delayMs));
		handle.unref();
		return toDisposable(() => {
			clearTimeout(handle);
		});
	}

	watchTicks(periodMs: number): Stream<Tick> {
		const existing = this.channels.get(periodMs);
		if (existing !== undefined) {
			return existing.stream;
		}
		const channel = this.register(new Channel<Tick>());
		this.channels.set(periodMs, channel);
		let lastMs = this.getNow();
		const handle = setInterval(() => {
			const nowMs = this.getNow();
			const elapsedMs = nowMs - lastMs;
			lastMs = nowMs;
			channel.emit({ nowMs, elapsedMs });
		}, periodMs);
		handle.unref();
		this.register(
			toDisposable(() => {
				clearInterval(handle);
			}),
		);
		return channel.stream;
	}
}
