/**
 * Simulates the workers of a plain service. A fixed number of calls run concurrently, and further calls wait in order
 * of arrival.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { TargetLoad } from './continuousBatch';

interface WorkItem {
	readonly durationMs: number;
	readonly handleStart: () => void;
	readonly handleEnd: () => void;
	timer: IDisposable | undefined;
}

/** Runs work items for their duration. */
export class WorkQueue implements IDisposable {
	private waiting: WorkItem[] = [];
	private readonly running = new Set<WorkItem>();

	constructor(
		private readonly slots: number,
		private readonly timers: ITimerService,
		private readonly onDidChangeLoad: (load: TargetLoad) => void = () => undefined,
	) {}

	/** Queues a work item. Disposing the result removes the item if it is still waiting, but does not stop its run. */
	submit(durationMs: number, handleStart: () => void, handleEnd: () => void): IDisposable {
		const work: WorkItem = { durationMs, handleStart, handleEnd, timer: undefined };
		this.waiting.push(work);
		this.admitWaiting();
		return toDisposable(() => {
			this.waiting = this.waiting.filter(other => other !== work);
			this.emitLoad();
		});
	}

	getLoad(): TargetLoad {
		return { running: this.running.size, waiting: this.waiting.length, slots: this.slots };
	}

	/** Removes all items, including running ones, without calling their callbacks. */
	dispose(): void {
		for (const work of this.running) {
			work.timer?.dispose();
		}
		this.running.clear();
		this.waiting = [];
		this.emitLoad();
	}

	private admitWaiting(): void {
		while (this.running.size < this.slots) {
			const next = this.waiting.shift();
			if (next === undefined) {
				break;
			}
			this.startWork(next);
		}
		this.emitLoad();
	}

	private startWork(work: WorkItem): void {
		this.running.add(work);
		work.handleStart();
		// `handleStart` may simulate a crash, which empties the queue. Items removed by it must not be scheduled.
		if (!this.running.has(work)) {
			return;
		}
		work.timer = this.timers.schedule(work.durationMs, () => {
			this.running.delete(work);
			work.handleEnd();
			this.admitWaiting();
		});
	}

	private emitLoad(): void {
		this.onDidChangeLoad(this.getLoad());
	}
}
