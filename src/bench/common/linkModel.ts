/**
 * One direction of a link between regions: messages go one after the other at its rate, then travel.
 */

import type { ITimerService } from '../../base/common/timerService';

const secondMs = 1_000;

export class LinkModel {
	/** Bytes put on the link in each second of the run. */
	readonly bytesBySecond: number[] = [];
	private freeAtMs = 0;

	constructor(
		private readonly timers: ITimerService,
		private readonly oneWayMs: number,
		readonly bytesPerMs: number,
	) {}

	/** All bytes carried so far. */
	get totalBytes(): number {
		return this.bytesBySecond.reduce((sum, bytes) => sum + bytes, 0);
	}

	/** Most bytes carried in one second. */
	get mostBytesPerSecond(): number {
		return this.bytesBySecond.reduce((most, bytes) => Math.max(most, bytes), 0);
	}

	send(bytes: number, receive: () => void): void {
		const nowMs = this.timers.getNow();
		const second = Math.floor(nowMs / secondMs);
		while (this.bytesBySecond.length <= second) {
			this.bytesBySecond.push(0);
		}
		this.bytesBySecond[second] = (this.bytesBySecond[second] ?? 0) + bytes;
		this.freeAtMs = Math.max(nowMs, this.freeAtMs) + bytes / this.bytesPerMs;
		this.timers.schedule(this.freeAtMs - nowMs + this.oneWayMs, receive);
	}
}
