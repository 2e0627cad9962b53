/**
 * The workers of a plain service: a fixed number of calls run together, the others wait in the order of
 * their arrival.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { BatchLoad } from './continuousBatch';

interface Work {
	readonly durationMs: number;
	readonly handleStart: () => void;
	readonly handleEnd: () => void;
	timer: IDisposable | undefined;
}

/** Runs work for its time. */
export class WorkQueue implements IDisposable {
	private waiting: Work[] = [];
	private readonly running = new Set<Work>();

	constructor(
		private readonly slots: number,
		private readonly timers: ITimerService,
		private readonly onLoad: (load: BatchLoad) => void = () => undefined,
	) {}

	/** Queues work; releasing the handle drops it if it waits still, a run that has started goes on. */
	submit(durationMs: number, handleStart: () => void, handleEnd: () => void): IDisposable {
		const work: Work = { durationMs, handleStart, handleEnd, timer: undefined };
		this.waiting.push(work);
		this.startWaiting();
		return toDisposable(() => {
			this.waiting = this.waiting.filter(other => other !== work);
			this.emitLoad();
		});
	}

	getLoad(): BatchLoad {
		return { running: this.running.size, waiting: this.waiting.length, slots: this.slots };
	}

	/** Drops everything, running work included, without a word to its owner. */
	dispose(): void {
		for (const work of this.running) {
			work.timer?.dispose();
		}
		this.running.clear();
		this.waiting = [];
		this.emitLoad();
	}

	private startWaiting(): void {
		while (this.running.size < this.slots) {
			const next = this.waiting.shift();
			if (next === undefined) {
				break;
			}
			this.startWork(next);
		}
		this.emitLoad();
	}

	private startWork(work: Work): void {
		this.running.add(work);
		work.handleStart();
		// A start that kills the service has emptied the queue; its work must not come back to life.
		if (!this.running.has(work)) {
			return;
		}
		work.timer = this.timers.schedule(work.durationMs, () => {
			this.running.delete(work);
			work.handleEnd();
			this.startWaiting();
		});
	}

	private emitLoad(): void {
		this.onLoad(this.getLoad());
	}
}
