/**
 * Detects that this process was suspended, and holds new requests until its state is up to date again. After a
 * suspension the state is stale: requests would be sent to targets that left minutes ago, by a manifest that has
 * been replaced, and callers would get refused connections. Sockets that became readable during the suspension
 * are handled before any timer, so each request checks the clock itself instead of relying on the timer.
 */

import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import { waitAtMost } from '../../base/common/waitFor';
import { checkIntervalMs } from '../common/intake/loopLagGate';

/** Requests the latest state; resolves when an answer has arrived. */
export type RefreshState = () => Promise<void>;

/** Called after each suspension with its length in milliseconds. */
export type ObserveSleep = (sleptMs: number) => void;

/**
 * A larger gap between two checks counts as a suspension. Far longer than a busy event loop delays a timer, and
 * shorter than targets and entries take to leave.
 */
const minSleepMs = 2_000;

/**
 * How long requests are held at most. An entry that can reach neither the platform nor any peer continues with the
 * state it has, since an isolated region has to keep serving requests.
 */
const maxHoldMs = 1_000;

/** Detects suspensions and provides the promise that new requests wait for. */
export class SleepDetector extends Disposable {
	private lastCheckMs: number;
	private refreshPromise: Promise<void> | undefined;

	constructor(
		private readonly refreshState: RefreshState,
		private readonly observeSleep: ObserveSleep,
		private readonly timers: ITimerService,
	) {
		super();
		this.lastCheckMs = timers.getNow();
		this.register(
			subscribeTo(timers.watchTicks(checkIntervalMs), () => {
				this.checkClock();
			}),
		);
	}

	/** Undefined in normal operation; after a suspension, a promise that resolves when requests may be handled. */
	findHold(): Promise<void> | undefined {
		this.checkClock();
		return this.refreshPromise;
	}

	/** Records a suspension of the machine, during which the monotonic clock stood still. */
	recordSleep(sleptMs: number): void {
		if (this.refreshPromise !== undefined) {
			return;
		}
		this.observeSleep(sleptMs);
		this.refreshPromise = waitAtMost(this.timers, maxHoldMs, this.refreshState()).finally(() => {
			this.refreshPromise = undefined;
		});
	}

	private checkClock(): void {
		const nowMs = this.timers.getNow();
		const sleptMs = nowMs - this.lastCheckMs;
		this.lastCheckMs = nowMs;
		if (sleptMs >= minSleepMs) {
			this.recordSleep(sleptMs);
		}
	}
}
