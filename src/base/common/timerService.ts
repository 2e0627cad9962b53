/**
 * The timer service is the only source of time. Parts subscribe to its ticks and ask it for delays, so
 * that tests and benchmarks can run the same code on a clock that they move by hand. Times are monotonic
 * milliseconds from an arbitrary origin; they never compare across processes.
 */

import type { Stream } from 'most';
import type { IDisposable } from './lifecycle';

/** One beat of a periodic subscription. */
export interface Tick {
	/** Monotonic time of the beat, in milliseconds. */
	readonly nowMs: number;
	/** Milliseconds since the beat before it; far above the period after the process was frozen. */
	readonly elapsedMs: number;
}

/** Time, ticks and delays. */
export interface ITimerService {
	/** Monotonic milliseconds. */
	getNow(): number;
	/** A stream that beats every `periodMs` for as long as it has a subscriber. */
	watchTicks(periodMs: number): Stream<Tick>;
	/** Runs a callback once after `delayMs`, unless the returned disposable is released first. */
	schedule(delayMs: number, run: () => void): IDisposable;
}
