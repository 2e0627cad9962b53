/**
 * The timer service is the only source of time. All code gets ticks and delays from it, so that tests and benchmarks can
 * run the same code with a clock that they advance themselves. Times are monotonic milliseconds from an arbitrary origin
 * and cannot be compared between processes.
 */

import type { Stream } from 'most';
import type { IDisposable } from './lifecycle';

/** One tick of a periodic timer. */
export interface Tick {
	/** Monotonic time of the tick, in milliseconds. */
	readonly nowMs: number;
	/** Milliseconds since the previous tick. Far above the period if the process was frozen in between. */
	readonly elapsedMs: number;
}

/** Provides the current time, ticks and delays. */
export interface ITimerService {
	/** Returns the monotonic time in milliseconds. */
	getNow(): number;
	/** Returns a stream that emits a tick every `periodMs` to its subscribers. */
	watchTicks(periodMs: number): Stream<Tick>;
	/** Runs a callback once after `delayMs`, unless the returned disposable is disposed of first. */
	schedule(delayMs: number, run: () => void): IDisposable;
}
