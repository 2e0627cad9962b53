/**
 * Model of one direction of a network link between regions. Messages are transmitted one after another at the
 * bandwidth of the link and arrive after the one-way delay.
 */

import type { ITimerService } from '../../base/common/timerService';

const secondMs = 1_000;

export class LinkModel {
	/** Bytes submitted to the link in each second of the run. */
	readonly bytesBySecond: number[] = [];
	private freeAtMs = 0;

	constructor(
		private readonly timers: ITimerService,
		private readonly oneWayMs: number,
		readonly bytesPerMs: number,
	) {}

	/** Bytes submitted to the link since the start of the run. */
	get totalBytes(): number {
		return this.bytesBySecond.reduce((sum, bytes) => sum + bytes, 0);
	}

	/** Maximum number of bytes submitted to the link in one second. */
	get maxBytesPerSecond(): number {
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
