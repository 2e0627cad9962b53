/**
 * A clock that goes on while the machine is suspended. The monotonic clock of a suspended machine stands still and the
 * time of day advances, so a forward jump of the time of day against the monotonic clock is taken for a suspension.
 *
 * A jump that an administrator or a time service makes cannot be told apart and counts as well: ages then appear longer
 * than they are, until the next read. A backward jump changes nothing.
 */

import type { Stream } from 'most';
import { Channel } from './channel';
import { Disposable } from './lifecycle';
import type { ITimerService } from './timerService';

/** Tells the time in milliseconds from an arbitrary origin; it never goes back. */
export type IClock = Pick<ITimerService, 'getNow'>;

/** Returns the time of day in milliseconds. */
export type GetTimeOfDay = () => number;

/** Smaller differences are the resolution of the time of day, which is a millisecond, and the time between two readings. */
export const minJumpMs = 10;
/** The part by which the time of day may run faster than the monotonic clock while a time service corrects it. */
const maxSlewRate = 0.001;
/** A preemption between the readings of the two clocks looks like a jump, so readings further apart are repeated. */
const maxReadingMs = 1;
const maxReadings = 3;

export class ElapsedClock extends Disposable implements IClock {
	private readonly jumps = this.register(new Channel<number>());
	private suspendedMs = 0;
	private baselineMs: number;
	private baselineAtMs: number;

	/** Emits the length of each suspension in milliseconds, during the first reading of the clock after it. */
	readonly onDidJump: Stream<number> = this.jumps.stream;

	constructor(
		private readonly timers: IClock,
		private readonly getTimeOfDay: GetTimeOfDay,
	) {
		super();
		this.baselineMs = this.readOffset();
		this.baselineAtMs = timers.getNow();
	}

	getNow(): number {
		const jumpMs = this.findJump();
		this.suspendedMs += jumpMs;
		const nowMs = this.timers.getNow() + this.suspendedMs;
		if (jumpMs > 0) {
			this.jumps.emit(jumpMs);
		}
		return nowMs;
	}

	/** Returns by how much the time of day has jumped forward since the previous call; 0 if it has not. */
	private findJump(): number {
		const offsetMs = this.readOffset();
		const nowMs = this.timers.getNow();
		const differenceMs = offsetMs - this.baselineMs;
		if (differenceMs <= 0 || differenceMs >= minJumpMs) {
			this.baselineMs = offsetMs;
			this.baselineAtMs = nowMs;
			return Math.max(0, differenceMs);
		}
		// The baseline follows a slow correction, but not a row of jumps that are each below the minimum.
		this.baselineMs += Math.min(differenceMs, maxSlewRate * (nowMs - this.baselineAtMs));
		this.baselineAtMs = nowMs;
		return 0;
	}

	/** Returns the time of day at monotonic zero, or slightly more if the process was preempted between the readings. */
	private readOffset(): number {
		let offsetMs = Number.POSITIVE_INFINITY;
		for (let reading = 0; reading < maxReadings; reading++) {
			const beforeMs = this.timers.getNow();
			offsetMs = Math.min(offsetMs, this.getTimeOfDay() - beforeMs);
			if (this.timers.getNow() - beforeMs <= maxReadingMs) {
				break;
			}
		}
		return offsetMs;
	}
}
