/**
 * One open feed of the store's changes from another entry: keeps the messages until they are taken, and reports when the
 * feed has ended, fallen silent or become too old.
 *
 * A message may be held up on the way for seconds. Its state is therefore placed in time by when this entry opened the feed,
 * which was before the watcher accepted it, and not by when the message arrived.
 */

import type { IClock } from '../../../base/common/elapsedClock';
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

/** A message and the time of the state that it leads to, by the reader's clock. */
export type ReceivedMessage = FeedMessage & { readonly asOfMs: number };

export class FeedReader implements IFeedObserver, IDisposable {
	private readonly messages: ReceivedMessage[] = [];
	private readonly openedMs: number;
	/** When the watcher accepted the feed, by the age clock; this or earlier. */
	private acceptedMs: number;
	private messageCount = 0;
	private isWaitEnded = false;
	private readonly connection: IDisposable;
	private wake: (() => void) | undefined;
	private lastHeardMs: number;
	private latest: ReceivedMessage | undefined;
	private endReason: string | undefined;

	constructor(
		readonly watcher: InstanceId,
		request: FeedRequest,
		opener: IFeedOpener,
		private readonly times: FeedTimes,
		private readonly timers: ITimerService,
		private readonly ageClock: IClock,
	) {
		this.lastHeardMs = timers.getNow();
		this.openedMs = this.lastHeardMs;
		this.acceptedMs = ageClock.getNow();
		this.connection = opener.open(watcher, request, this);
	}

	/** Why the feed is lost, for the log. */
	get lostReason(): string {
		if (this.endReason === undefined && this.isTooOld()) {
			return `${Math.round(this.getAgeMs())} ms old`;
		}
		return this.endReason ?? `silent for ${Math.round(this.timers.getNow() - this.lastHeardMs)} ms`;
	}

	/** Whether the feed has been open for so long that the drift of the two clocks matters, and all messages are taken. */
	isRenewalDue(): boolean {
		const { bounds } = this.times;
		return (
			bounds !== undefined &&
			this.messages.length === 0 &&
			this.timers.getNow() - this.openedMs >= bounds.maxFeedMs
		);
	}

	receive(message: FeedMessage): void {
		if (message.elapsedMs === undefined && this.times.bounds !== undefined) {
			this.end('the watcher does not tell how long its messages take');
			return;
		}
		this.lastHeardMs = this.timers.getNow();
		this.messageCount++;
		const received = { ...message, asOfMs: this.computeAsOfMs(message) };
		this.latest = { ...received, isListing: false, written: [], removed: [] };
		if (message.isListing || message.written.length > 0 || message.removed.length > 0) {
			this.messages.push(received);
		}
		this.wake?.();
	}

	/** Ends a wait, because another reason to read than a message has come up. */
	endWait(): void {
		this.isWaitEnded = true;
		this.wake?.();
	}

	end(reason: string): void {
		this.endReason ??= reason;
		this.wake?.();
	}

	/** Removes and returns the next message with items. */
	take(): ReceivedMessage | undefined {
		return this.messages.shift();
	}

	/** The next message with items, which stays the next one. */
	getNext(): ReceivedMessage | undefined {
		return this.messages[0];
	}

	/** The last message without its items. */
	getLatest(): ReceivedMessage | undefined {
		return this.latest;
	}

	/**
	 * Waits for a message with items, for at most `waitMs`. If ages are bounded, a heartbeat also ends the wait, since the
	 * state is younger with it.
	 */
	async wait(waitMs: number, signal: AbortSignal): Promise<FeedWaitEnd> {
		const { messageCount } = this;
		this.isWaitEnded = false;
		const end = await this.waitFor(waitMs, signal, () => {
			const isHeartbeatEnd = this.times.bounds !== undefined && this.messageCount !== messageCount;
			return this.messages.length > 0 || (this.latest !== undefined && (isHeartbeatEnd || this.isWaitEnded));
		});
		return end === FeedWaitEnd.Message && this.messages.length === 0 ? FeedWaitEnd.Unchanged : end;
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
			const nowMs = this.timers.getNow();
			await this.waitForWake(
				Math.min(endsMs - nowMs, this.lastHeardMs + this.times.silenceMs - nowMs, this.computeTooOldInMs()),
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
		if (this.endReason !== undefined || nowMs - this.lastHeardMs >= this.times.silenceMs || this.isTooOld()) {
			return FeedWaitEnd.Lost;
		}
		if (nowMs < endsMs) {
			return undefined;
		}
		return this.latest === undefined ? FeedWaitEnd.Lost : FeedWaitEnd.Unchanged;
	}

	/**
	 * A watcher's clock may run faster than the reader's. A message cannot arrive before it is sent, which corrects the time
	 * of acceptance with each message that was not held up.
	 */
	private computeAsOfMs({ elapsedMs, ageMs }: FeedMessage): number {
		const nowMs = this.ageClock.getNow();
		if (elapsedMs === undefined || this.times.bounds === undefined) {
			return nowMs - ageMs;
		}
		this.acceptedMs = Math.min(this.acceptedMs, nowMs - elapsedMs);
		return this.acceptedMs + elapsedMs - ageMs;
	}

	private getAgeMs(): number {
		return this.latest === undefined ? 0 : this.ageClock.getNow() - this.latest.asOfMs;
	}

	/** Whether the state of the latest message is older than a reader may go on with. */
	isTooOld(): boolean {
		return this.computeTooOldInMs() <= 0;
	}

	private computeTooOldInMs(): number {
		const { bounds } = this.times;
		return bounds === undefined ? Number.POSITIVE_INFINITY : bounds.maxReadAgeMs - this.getAgeMs();
	}

	private async waitForWake(delayMs: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				timer.dispose();
				signal.removeEventListener('abort', finish);
				resolve();
			};
			const timer = this.timers.schedule(Math.max(1, delayMs), finish);
			signal.addEventListener('abort', finish, { once: true });
			this.wake = finish;
		});
	}
}
