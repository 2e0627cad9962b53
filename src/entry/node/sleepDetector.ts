/**
 * Notices that this process slept, and holds new requests until what it knows is fresh again. A frozen
 * process wakes up still believing what was true before: it would send requests to targets that left
 * minutes ago, by rules that were replaced meanwhile, and its callers would see connections refused. The
 * sockets that became ready during the sleep are served before any timer, so the first request checks the
 * clock itself and does not wait for a tick to find out.
 */

import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';

/** Asks for the newest state anew; ends when an answer came. */
export type RefreshState = () => Promise<void>;

/** Hears of each sleep with its length in milliseconds. */
export type ObserveSleep = (sleptMs: number) => void;

const beatMs = 250;

/** Far more than a busy loop is late by, and less than targets and entries need to leave. */
const sleepMs = 2_000;

/**
 * How long requests are held for fresh state. Cut off from the platform and all peers, an entry has
 * nothing fresher to hope for and goes on with what it holds, as an isolated region must.
 */
const mostHoldMs = 1_000;

/** Detects sleep, and says what new requests must wait for. */
export class SleepDetector extends Disposable {
	private beatenMs: number;
	private refreshing: Promise<void> | undefined;

	constructor(
		private readonly refresh: RefreshState,
		private readonly observeSleep: ObserveSleep,
		private readonly timers: ITimerService,
	) {
		super();
		this.beatenMs = timers.getNow();
		this.register(
			subscribeTo(timers.watchTicks(beatMs), () => {
				this.checkClock();
			}),
		);
	}

	/** Undefined while awake; otherwise ends when new requests may be decided on again. */
	findHold(): Promise<void> | undefined {
		this.checkClock();
		return this.refreshing;
	}

	private checkClock(): void {
		const nowMs = this.timers.getNow();
		const sleptMs = nowMs - this.beatenMs;
		this.beatenMs = nowMs;
		if (sleptMs < sleepMs || this.refreshing !== undefined) {
			return;
		}
		this.observeSleep(sleptMs);
		this.refreshing = this.waitForRefresh().finally(() => {
			this.refreshing = undefined;
		});
	}

	private async waitForRefresh(): Promise<void> {
		await new Promise<void>(resolve => {
			const limit = this.timers.schedule(mostHoldMs, resolve);
			void this.refresh().then(() => {
				limit.dispose();
				resolve();
			});
		});
	}
}
