/**
 * Holds the first requests of a process until it has read the state it needs to serve them. When all instances
 * restart at once, every caller retries while the new processes are starting. A process listens before it has read
 * the configuration and the targets, which takes some hundred milliseconds from a store in another region. Refusing
 * requests in that time would use up the callers' only retry on an entry that could have served them a moment
 * later, and would cause about a second of refusals after each loss of all instances.
 *
 * The hold is limited in time: a process that cannot read its state refuses the requests with that reason.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';

/**
 * Maximum hold after the start of the process. Slightly longer than the 0.6 s that the slowest of nine processes
 * needed to read a store in a region 55 ms away after a simultaneous restart.
 */
const maxHoldMs = 700;
/** Shorter than a typical request, so that polling adds little latency. */
const pollIntervalMs = 10;

/** Holds requests until the initial state is available or the time limit is reached. */
export class StartHold extends Disposable {
	private readonly endsMs: number;
	private pollTimer: IDisposable | undefined;
	private endPromise: Promise<void> | undefined;
	private hasEnded = false;

	constructor(
		private readonly isStateRead: () => boolean,
		private readonly timers: ITimerService,
	) {
		super();
		this.endsMs = timers.getNow() + maxHoldMs;
	}

	override dispose(): void {
		this.pollTimer?.dispose();
		super.dispose();
	}

	/** Undefined once the state is available or the time limit is reached; until then, a promise for that moment. */
	findHold(): Promise<void> | undefined {
		if (this.hasEnded || this.checkEnded()) {
			return undefined;
		}
		this.endPromise ??= new Promise(resolve => {
			this.watchState(resolve);
		});
		return this.endPromise;
	}

	private checkEnded(): boolean {
		this.hasEnded = this.isStateRead() || this.timers.getNow() >= this.endsMs;
		return this.hasEnded;
	}

	private watchState(resolve: () => void): void {
		this.pollTimer = this.timers.schedule(pollIntervalMs, () => {
			if (this.checkEnded()) {
				resolve();
				return;
			}
			this.watchState(resolve);
		});
	}
}
