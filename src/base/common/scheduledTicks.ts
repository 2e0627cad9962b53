/**
 * Ticks made of single callbacks, for timer services whose clock is not the system's.
 */

import type { Stream } from 'most';
import { Channel } from './channel';
import type { ITimerService, Tick } from './timerService';

/** Emits a tick each period for as long as the timers run, with the time since the previous one. */
export function watchScheduledTicks(
	timers: Pick<ITimerService, 'getNow' | 'schedule'>,
	periodMs: number,
): Stream<Tick> {
	const channel = new Channel<Tick>();
	let lastMs = timers.getNow();
	const emitTick = (): void => {
		const nowMs = timers.getNow();
		const elapsedMs = nowMs - lastMs;
		lastMs = nowMs;
		timers.schedule(periodMs, emitTick);
		channel.emit({ nowMs, elapsedMs });
	};
	timers.schedule(periodMs, emitTick);
	return channel.stream;
}
