/**
 * One open feed of the store's changes from another entry: keeps the messages until they are taken, and reports when the
 * feed has ended or fallen silent.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId } from '../../../core/ids/common/ids';
import type { FeedMessage, FeedRequest, FeedTimes, IFeedObserver, IFeedOpener } from './storeFeed';

/** What a wait for the next message ended with. */
export enum FeedWaitEnd {
	Message = 'message',
	/** Nothing changed; the watcher was heard from meanwhile. */
	Unchanged = 'unchanged',
	/** The feed has ended, or the watcher is silent. */
	Lost = 'lost',
	/** The wait was cancelled. */
	Cancelled = 'cancelled',
}

export class FeedReader implements IFeedObserver, IDisposable {
	private readonly messages: FeedMessage[] = [];
	private readonly connection: IDisposable;
	private wake: (() => void) | undefined;
	private lastHeardMs: number;
	private latest: FeedMessage | undefined;
	private endReason: string | undefined;

	constructor(
		readonly watcher: InstanceId,
		request: FeedRequest,
		opener: IFeedOpener,
		private readonly times: FeedTimes,
		private readonly timers: ITimerService,
	) {
		this.lastHeardMs = timers.getNow();
		this.connection = opener.open(watcher, request, this);
	}

	/** Why the feed is lost, for the log. */
	get lostReason(): string {
		return this.endReason ?? `silent for ${Math.round(this.timers.getNow() - this.lastHeardMs)} ms`;
	}

	receive(message: FeedMessage): void {
		this.lastHeardMs = this.timers.getNow();
		this.latest = { ...message, isListing: false, written: [], removed: [] };
		if (message.isListing || message.written.length > 0 || message.removed.length > 0) {
			this.messages.push(message);
		}
		this.wake?.();
	}

	end(reason: string): void {
		this.endReason ??= reason;
		this.wake?.();
	}

	/** Removes and returns the next message with items. */
	take(): FeedMessage | undefined {
		return this.messages.shift();
	}

	/** The next message with items, which stays the next one. */
	getNext(): FeedMessage | undefined {
		return this.messages[0];
	}

	/** The last message without its items, with the time that has passed since in its age. */
	getLatest(): FeedMessage | undefined {
		const { latest } = this;
		return latest && { ...latest, ageMs: latest.ageMs + this.timers.getNow() - this.lastHeardMs };
	}

	/** Waits for a message with items, for at most `waitMs`. */
	async wait(waitMs: number, signal: AbortSignal): Promise<FeedWaitEnd> {
		return this.waitFor(waitMs, signal, () => this.messages.length > 0);
	}

	/** Waits for any message, for at most `waitMs`; lost if none has come by then. */
	async waitForFirst(waitMs: number, signal: AbortSignal): Promise<FeedWaitEnd> {
		return this.waitFor(waitMs, signal, () => this.latest !== undefined);
	}

	private async waitFor(waitMs: number, signal: AbortSignal, isReached: () => boolean): Promise<FeedWaitEnd> {
		const endsMs = this.timers.getNow() + waitMs;
		for (;;) {
			const end = this.findWaitEnd(endsMs, signal, isReached);
			if (end !== undefined) {
				return end;
			}
			await this.waitForWake(
				Math.min(endsMs, this.lastHeardMs + this.times.silenceMs) - this.timers.getNow(),
				signal,
			);
		}
	}

	dispose(): void {
		this.endReason ??= 'closed';
		this.connection.dispose();
		this.wake?.();
	}

	private findWaitEnd(
		endsMs: number,
		signal: AbortSignal,
		isReached: () => boolean,
	): FeedWaitEnd | undefined {
		const nowMs = this.timers.getNow();
		if (signal.aborted) {
			return FeedWaitEnd.Cancelled;
		}
		if (isReached()) {
			return FeedWaitEnd.Message;
		}
		if (this.endReason !== undefined || nowMs - this.lastHeardMs >= this.times.silenceMs) {
			return FeedWaitEnd.Lost;
		}
		if (nowMs < endsMs) {
			return undefined;
		}
		return this.latest === undefined ? FeedWaitEnd.Lost : FeedWaitEnd.Unchanged;
	}

	private async waitForWake(delayMs: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = this.timers.schedule(Math.max(1, delayMs), resolve);
			signal.addEventListener(
				'abort',
				() => {
					resolve();
				},
				{ once: true },
			);
			this.wake = () => {
				timer.dispose();
				resolve();
			};
		});
	}
}
