/**
 * Model of a target (an inference engine with continuous batching) in virtual time, kept small so that its
 * assumptions can be reviewed. All running requests progress at the same rate, which falls with their number because
 * a decoding step takes longer for a larger batch. Requests that exceed the slots wait in a queue that is ordered by
 * request class, the most urgent first. The target caches the most recently used prompt prefixes. A request whose
 * prefix is not cached takes additional work.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { TargetId } from '../../core/ids/common/ids';
import type { RequestClass } from '../../core/requests/common/requestClass';
import { requestClasses } from '../../core/requests/common/requestClass';
import { AttemptEnd } from '../../entry/common/scheduling/serviceScheduler';

/** Configuration of a target. */
export interface TargetModelOptions {
	readonly id: TargetId;
	readonly slots: number;
	/**
	 * Relative increase of the duration of a decoding step from one running request to all slots in use. 0.25 means
	 * 25% longer.
	 */
	readonly batchSlowdown: number;
	/** Maximum number of cached prefixes. */
	readonly cachedPrefixes: number;
}

/** A request that is submitted to a target. */
export interface TargetJob {
	readonly id: string;
	readonly requestClass: RequestClass;
	/** Processing time if the request runs alone on a healthy target. */
	readonly workMs: number;
	readonly prefixKey: string | undefined;
	/** Additional processing time if the prefix is not cached. */
	readonly coldMs: number;
	readonly noteFirstByte: () => void;
	readonly noteEnd: (end: AttemptEnd) => void;
}

interface RunningJob {
	readonly job: TargetJob;
	/** Remaining work. */
	leftMs: number;
	/** The first byte is sent as soon as the remaining work is at most this. */
	readonly firstByteLeftMs: number;
	hasFirstByte: boolean;
}

/** Share of a request's work, without the work for an uncached prefix, that precedes the first byte. */
const firstByteWorkShare = 0.1;
/** Remaining work at which a request counts as complete. Floating-point errors can keep it from reaching zero. */
const completionToleranceMs = 1e-6;

/** Time after which a failing target aborts a request. */
const failureDelayMs = 20;

/** Counters of a target since the start of the run. */
export interface TargetTotals {
	startedJobs: number;
	prefixHits: number;
	prefixMisses: number;
	/** Time with at least one running request. */
	busyMs: number;
	/** Slot time in use, including time spent on cancelled and failed requests. */
	slotMs: number;
}

/** A target that processes requests in virtual time. */
export class TargetModel {
	readonly totals: TargetTotals = { startedJobs: 0, prefixHits: 0, prefixMisses: 0, busyMs: 0, slotMs: 0 };
	private readonly running = new Map<string, RunningJob>();
	private waiting: TargetJob[] = [];
	private readonly cache = new Set<string>();
	private speed = 1;
	private isDown = false;
	private isFailing = false;
	private lastStepMs: number;
	private timer: IDisposable | undefined;

	constructor(
		private readonly timers: ITimerService,
		readonly options: TargetModelOptions,
	) {
		this.lastStepMs = timers.getNow();
	}

	get runningCount(): number {
		return this.running.size;
	}

	/** Whether the target is down or fails every request. */
	get isUnavailable(): boolean {
		return this.isDown || this.isFailing;
	}

	get waitingCount(): number {
		return this.waiting.length;
	}

	/** Starts a job as soon as a slot is free. Connections to a target that is down fail immediately. */
	submit(job: TargetJob): void {
		if (this.isDown) {
			job.noteEnd(AttemptEnd.NotConnected);
			return;
		}
		if (this.isFailing) {
			this.totals.startedJobs++;
			this.timers.schedule(failureDelayMs, () => {
				job.noteEnd(AttemptEnd.Failed);
			});
			return;
		}
		this.advance();
		const rank = requestClasses.indexOf(job.requestClass);
		const place = this.waiting.findIndex(other => requestClasses.indexOf(other.requestClass) > rank);
		this.waiting.splice(place < 0 ? this.waiting.length : place, 0, job);
		this.startWaiting();
		this.scheduleNext();
	}

	/** Cancels a job without calling its `noteEnd`. */
	cancel(id: string): void {
		this.advance();
		this.running.delete(id);
		this.waiting = this.waiting.filter(job => job.id !== id);
		this.startWaiting();
		this.scheduleNext();
	}

	/** Sets the processing speed. 1 is a healthy target, 0.2 makes requests take five times as long. */
	setSpeed(speed: number): void {
		this.advance();
		this.speed = speed;
		this.scheduleNext();
	}

	/** A failing target accepts every new request and aborts it after a short time. */
	setFailing(isFailing: boolean): void {
		this.isFailing = isFailing;
	}

	/** Taking the target down aborts all running and waiting requests and clears the cache. */
	setDown(isDown: boolean): void {
		this.advance();
		this.isDown = isDown;
		const broken = [...this.running.values()].map(({ job }) => job).concat(this.waiting);
		this.running.clear();
		this.waiting = [];
		this.cache.clear();
		this.scheduleNext();
		for (const job of broken) {
			job.noteEnd(AttemptEnd.Failed);
		}
	}

	private getRate(): number {
		const others = (this.running.size - 1) / Math.max(1, this.options.slots - 1);
		return this.speed / (1 + this.options.batchSlowdown * Math.max(0, others));
	}

	/** Applies the progress since the last step to all running requests. */
	private advance(): void {
		const nowMs = this.timers.getNow();
		const elapsedMs = nowMs - this.lastStepMs;
		this.lastStepMs = nowMs;
		if (this.running.size === 0) {
			return;
		}
		this.totals.busyMs += elapsedMs;
		this.totals.slotMs += elapsedMs * this.running.size;
		const doneMs = elapsedMs * this.getRate();
		for (const entry of this.running.values()) {
			entry.leftMs -= doneMs;
		}
	}

	private startWaiting(): void {
		while (this.running.size < this.options.slots) {
			const job = this.waiting.shift();
			if (job === undefined) {
				return;
			}
			this.totals.startedJobs++;
			const coldMs = this.takePrefix(job.prefixKey) ? 0 : job.coldMs;
			this.running.set(job.id, {
				job,
				leftMs: job.workMs + coldMs,
				firstByteLeftMs: job.workMs * (1 - firstByteWorkShare),
				hasFirstByte: false,
			});
		}
	}

	/** Marks the prefix as most recently used, adding it if needed. Returns false if it was not cached before. */
	private takePrefix(prefixKey: string | undefined): boolean {
		if (prefixKey === undefined) {
			return true;
		}
		const isHit = this.cache.delete(prefixKey);
		this.cache.add(prefixKey);
		const [oldest] = this.cache;
		if (this.cache.size > this.options.cachedPrefixes && oldest !== undefined) {
			this.cache.delete(oldest);
		}
		this.totals.prefixHits += isHit ? 1 : 0;
		this.totals.prefixMisses += isHit ? 0 : 1;
		return isHit;
	}

	private scheduleNext(): void {
		this.timer?.dispose();
		let nextMs = Number.POSITIVE_INFINITY;
		for (const { leftMs, firstByteLeftMs, hasFirstByte } of this.running.values()) {
			nextMs = Math.min(nextMs, hasFirstByte ? leftMs : leftMs - firstByteLeftMs);
		}
		if (nextMs === Number.POSITIVE_INFINITY) {
			return;
		}
		const delayMs = Math.max(0, nextMs) / this.getRate();
		this.timer = this.timers.schedule(delayMs, () => {
			this.handleStep();
		});
	}

	/**
	 * Reports the first bytes and completions that are due. The callbacks run last because they may submit or cancel
	 * jobs.
	 */
	private handleStep(): void {
		this.advance();
		const callbacks: (() => void)[] = [];
		for (const entry of this.running.values()) {
			if (!entry.hasFirstByte && entry.leftMs <= entry.firstByteLeftMs + completionToleranceMs) {
				entry.hasFirstByte = true;
				callbacks.push(entry.job.noteFirstByte);
			}
			if (entry.leftMs <= completionToleranceMs) {
				this.running.delete(entry.job.id);
				callbacks.push(() => {
					entry.job.noteEnd(AttemptEnd.Answered);
				});
			}
		}
		this.startWaiting();
		this.scheduleNext();
		for (const call of callbacks) {
			call();
		}
	}
}
