/**
 * Holds the first requests of a process until it has read what it needs to serve them. Load pattern: all
 * instances are lost at once and come back while every caller tries again. A process listens before it has
 * read the configuration and the targets, some hundred milliseconds from a store in another region; refused
 * in that time, a caller spends the retry that it has on an entry that could have served it a moment later,
 * seen as a second of refusals after each loss of all instances.
 *
 * The hold ends by itself: a process that can't read its state tells callers so.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';

/**
 * Counted from the start of the process, in milliseconds: a little more than the 0.6 s that the slowest of nine
 * processes took to read a store in another region, 55 ms away, in one replayed loss of all instances.
 */
const mostHoldMs = 700;
/** Shorter than a request takes, so that the hold adds little. */
const lookMs = 10;

/** Knows whether new requests must wait for the first state. */
export class StartHold extends Disposable {
	private readonly endsMs: number;
	private look: IDisposable | undefined;
	private waiting: Promise<void> | undefined;
	private isOver = false;

	constructor(
		private readonly isStateRead: () => boolean,
		private readonly timers: ITimerService,
	) {
		super();
		this.endsMs = timers.getNow() + mostHoldMs;
	}

	override dispose(): void {
		this.look?.dispose();
		super.dispose();
	}

	/** Undefined once the state was read or is not to be waited for; else ends when that is so. */
	findHold(): Promise<void> | undefined {
		if (this.isOver || this.checkOver()) {
			return undefined;
		}
		this.waiting ??= new Promise(resolve => {
			this.watchState(resolve);
		});
		return this.waiting;
	}

	private checkOver(): boolean {
		this.isOver = this.isStateRead() || this.timers.getNow() >= this.endsMs;
		return this.isOver;
	}

	private watchState(resolve: () => void): void {
		this.look = this.timers.schedule(lookMs, () => {
			if (this.checkOver()) {
				resolve();
				return;
			}
			this.watchState(resolve);
		});
	}
}
