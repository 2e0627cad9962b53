/**
 * One direction of a connection over a simulated link. Items are delivered in the order in which they were
 * pushed, after the time for their transfer over the shared bandwidth and the one-way delay of the link. While
 * the line is paused it keeps its items, as the operating system of a sender keeps unacknowledged data.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { SharedBandwidth } from './sharedBandwidth';

interface QueuedItem<TItem> {
	readonly dueMs: number;
	readonly bytes: number;
	readonly item: TItem;
}

/** Delays items and delivers them in order. */
export class DelayLine<TItem> implements IDisposable {
	private readonly queue: QueuedItem<TItem>[] = [];
	private timer: IDisposable | undefined;
	private isPaused = false;
	private isDisposed = false;
	private queuedBytes = 0;

	constructor(
		private readonly rate: SharedBandwidth,
		private readonly timers: ITimerService,
		private readonly getOneWayMs: () => number,
		private readonly deliver: (item: TItem) => void,
	) {}

	/** Returns the number of bytes that were pushed but not delivered yet. */
	getQueuedBytes(): number {
		return this.queuedBytes;
	}

	push(item: TItem, bytes: number): void {
		if (this.isDisposed) {
			return;
		}
		const nowMs = this.timers.getNow();
		const dueMs = nowMs + this.rate.reserve(bytes, nowMs) + this.getOneWayMs();
		this.queue.push({ dueMs, bytes, item });
		this.queuedBytes += bytes;
		this.scheduleNext();
	}

	setPaused(isPaused: boolean): void {
		this.isPaused = isPaused;
		if (isPaused) {
			this.timer?.dispose();
			this.timer = undefined;
		}
		this.scheduleNext();
	}

	/** Discards all queued items. Items that are pushed later are ignored. */
	dispose(): void {
		this.isDisposed = true;
		this.timer?.dispose();
		this.timer = undefined;
		this.queue.length = 0;
		this.queuedBytes = 0;
	}

	private scheduleNext(): void {
		const next = this.queue[0];
		if (next === undefined || this.isPaused || this.timer !== undefined) {
			return;
		}
		this.timer = this.timers.schedule(next.dueMs - this.timers.getNow(), () => {
			this.timer = undefined;
			this.emitDue();
		});
	}

	private emitDue(): void {
		const nowMs = this.timers.getNow();
		for (let next = this.queue[0]; next !== undefined; next = this.queue[0]) {
			if (this.isPaused || next.dueMs > nowMs) {
				break;
			}
			this.queue.shift();
			this.queuedBytes -= next.bytes;
			this.deliver(next.item);
		}
		this.scheduleNext();
	}
}
