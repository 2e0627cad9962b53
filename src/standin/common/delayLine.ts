/**
 * One direction of one connection over a link: pieces come out in the order in which they went in, after
 * their turn on the shared bandwidth and the link's delay. A held line keeps its pieces, as a sender's
 * operating system keeps what is not acknowledged.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { SharedRate } from './sharedRate';

interface Piece<TItem> {
	readonly dueMs: number;
	readonly bytes: number;
	readonly item: TItem;
}

/** Delays items and gives them out in order. */
export class DelayLine<TItem> implements IDisposable {
	private readonly pieces: Piece<TItem>[] = [];
	private timer: IDisposable | undefined;
	private isHeld = false;
	private isDisposed = false;
	private queuedBytes = 0;

	constructor(
		private readonly rate: SharedRate,
		private readonly timers: ITimerService,
		private readonly getOneWayMs: () => number,
		private readonly deliver: (item: TItem) => void,
	) {}

	/** Bytes on their way. */
	getQueuedBytes(): number {
		return this.queuedBytes;
	}

	push(item: TItem, bytes: number): void {
		if (this.isDisposed) {
			return;
		}
		const nowMs = this.timers.getNow();
		const dueMs = nowMs + this.rate.reserve(bytes, nowMs) + this.getOneWayMs();
		this.pieces.push({ dueMs, bytes, item });
		this.queuedBytes += bytes;
		this.scheduleNext();
	}

	setHeld(isHeld: boolean): void {
		this.isHeld = isHeld;
		if (isHeld) {
			this.timer?.dispose();
			this.timer = undefined;
		}
		this.scheduleNext();
	}

	/** Drops what is on its way. */
	dispose(): void {
		this.isDisposed = true;
		this.timer?.dispose();
		this.timer = undefined;
		this.pieces.length = 0;
		this.queuedBytes = 0;
	}

	private scheduleNext(): void {
		const next = this.pieces[0];
		if (next === undefined || this.isHeld || this.timer !== undefined) {
			return;
		}
		this.timer = this.timers.schedule(next.dueMs - this.timers.getNow(), () => {
			this.timer = undefined;
			this.emitDue();
		});
	}

	private emitDue(): void {
		const nowMs = this.timers.getNow();
		for (let next = this.pieces[0]; next !== undefined; next = this.pieces[0]) {
			if (this.isHeld || next.dueMs > nowMs) {
				break;
			}
			this.pieces.shift();
			this.queuedBytes -= next.bytes;
			this.deliver(next.item);
		}
		this.scheduleNext();
	}
}
