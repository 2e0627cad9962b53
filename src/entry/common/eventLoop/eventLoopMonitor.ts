/**
 * Reports what a late event loop was busy with. Requests then wait at this entry, and neither their steps nor the
 * delay of the event loop show why: the entry may have too much work of one kind, get too little processor time, or
 * have been suspended. Processor time, idle time and the work since the previous check tell these cases apart.
 *
 * At most one window is reported each second, so that an entry short of processor time does not spend it on its log.
 */

import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService, Tick } from '../../../base/common/timerService';
import { checkIntervalMs, maxLagMs } from '../intake/loopLagGate';
import type { WorkCounts } from './workCounts';
import { computeWorkBetween } from './workCounts';

/** What the process has used since its start. */
export interface ProcessUsage {
	/** Processor time of all threads, in milliseconds. */
	readonly cpuMs: number;
	/** Time that the event loop waited for events, in milliseconds. */
	readonly idleMs: number;
}

/** The time between two checks of which the second was late. Durations are whole milliseconds. */
export interface LateWindow extends ProcessUsage {
	readonly windowMs: number;
	readonly lateMs: number;
	readonly work: WorkCounts;
	/** Number of late windows that were not reported since the last report. */
	readonly omitted: number;
}

/** Provides the totals since the start of the process. */
export interface IUsageSource {
	readUsage(): ProcessUsage;
	/** Returns a new object each time. */
	countWork(): WorkCounts;
}

/** Receives what the monitor finds. */
export interface ILateWindowObserver {
	/** Called for each late window. */
	noteLate(lateMs: number): void;
	/** Called at most once a second. */
	writeWindow(window: LateWindow): void;
}

interface Totals {
	readonly usage: ProcessUsage;
	readonly work: WorkCounts;
}

const minReportIntervalMs = 1_000;

/** Compares the totals of the process at each check of the event loop. */
export class EventLoopMonitor extends Disposable {
	private previous: Totals;
	private lastReportMs = -Infinity;
	private omitted = 0;

	constructor(
		private readonly source: IUsageSource,
		private readonly observer: ILateWindowObserver,
		timers: ITimerService,
	) {
		super();
		this.previous = this.readTotals();
		this.register(
			subscribeTo(timers.watchTicks(checkIntervalMs), tick => {
				this.checkTick(tick);
			}),
		);
	}

	private checkTick({ nowMs, elapsedMs }: Tick): void {
		const before = this.previous;
		const after = this.readTotals();
		this.previous = after;
		const lateMs = elapsedMs - checkIntervalMs;
		if (lateMs <= maxLagMs) {
			return;
		}
		this.observer.noteLate(lateMs);
		if (nowMs - this.lastReportMs < minReportIntervalMs) {
			this.omitted++;
			return;
		}
		this.lastReportMs = nowMs;
		this.observer.writeWindow({
			windowMs: Math.round(elapsedMs),
			lateMs: Math.round(lateMs),
			cpuMs: Math.round(after.usage.cpuMs - before.usage.cpuMs),
			idleMs: Math.round(after.usage.idleMs - before.usage.idleMs),
			work: computeWorkBetween(before.work, after.work),
			omitted: this.omitted,
		});
		this.omitted = 0;
	}

	private readTotals(): Totals {
		return { usage: this.source.readUsage(), work: this.source.countWork() };
	}
}
