/**
 * Executes load runs: sends the requests at their planned times, waits for all answers and returns the summary.
 */

import { setImmediate as waitForLoop } from 'node:timers/promises';
import type { IRandom } from '../../base/common/random';
import type { ITimerService } from '../../base/common/timerService';
import { planArrivals } from '../common/arrivalPlan';
import { ResultKind } from '../common/answerCheck';
import type { LoadOptions } from '../common/loadOptions';
import { LoadMode } from '../common/loadOptions';
import type { LoadSummary } from '../common/loadStatistics';
import { LoadRecorder } from '../common/loadStatistics';
import { BodySource } from './bodySource';
import { LoadClient } from './loadClient';

/** Maximum requests in flight in an open-loop run. Requests that are due beyond this limit count as failed. */
const maxInFlight = 20_000;
/**
 * If the next arrival is closer than this, the runner polls with `setImmediate` instead of setting a timer. Node
 * timers are up to 1 ms late. That delay would be added to every latency and hide differences of less than 1 ms
 * between compared routes.
 */
const pollEventLoopBelowMs = 3;

/** Executes load runs. An instance can be reused for consecutive runs. */
export class LoadRunner {
	constructor(
		private readonly timers: ITimerService,
		private readonly random: IRandom,
	) {}

	async run(options: LoadOptions): Promise<LoadSummary> {
		const run = new LoadRun(options, this.timers, this.random);
		const keepLoopAlive = setInterval(() => undefined, 1_000);
		try {
			return options.mode === LoadMode.Open
				? await run.runOpen(planArrivals(options, this.random))
				: await run.runClosed();
		} finally {
			clearInterval(keepLoopAlive);
			await run.close();
		}
	}
}

class LoadRun {
	private readonly client: LoadClient;
	private readonly bodies: BodySource;
	private readonly recorder = new LoadRecorder();
	private readonly inFlight = new Set<Promise<void>>();
	private readonly startMs: number;
	private sequence = 0;

	constructor(
		private readonly options: LoadOptions,
		private readonly timers: ITimerService,
		random: IRandom,
	) {
		this.client = new LoadClient(options);
		this.bodies = new BodySource(options.bodyBytes, random);
		this.startMs = timers.getNow();
	}

	async runOpen(arrivals: readonly number[]): Promise<LoadSummary> {
		for (const arrivalMs of arrivals) {
			const plannedMs = this.startMs + arrivalMs;
			await this.waitUntil(plannedMs);
			this.sendPlanned(plannedMs);
		}
		await Promise.all(this.inFlight);
		return this.createSummary();
	}

	async runClosed(): Promise<LoadSummary> {
		const senders = this.options.connections * this.options.targetUrls.length;
		await Promise.all(Array.from({ length: senders }, () => this.sendSequentially()));
		return this.createSummary();
	}

	async close(): Promise<void> {
		await this.client.close();
	}

	private createSummary(): LoadSummary {
		return this.recorder.createSummary(this.timers.getNow() - this.startMs);
	}

	private async waitUntil(dueMs: number): Promise<void> {
		for (;;) {
			const leftMs = dueMs - this.timers.getNow();
			if (leftMs <= 0) {
				return;
			}
			if (leftMs < pollEventLoopBelowMs) {
				await waitForLoop();
			} else {
				await this.waitFor(leftMs - pollEventLoopBelowMs + 1);
			}
		}
	}

	private waitFor(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.timers.schedule(delayMs, resolve);
		});
	}

	private sendPlanned(plannedMs: number): void {
		if (this.inFlight.size >= maxInFlight) {
			this.recorder.recordResult({ kind: ResultKind.Failed, reason: 'not sent: too many in flight' }, 0);
			return;
		}
		const sent = this.send(plannedMs).finally(() => this.inFlight.delete(sent));
		this.inFlight.add(sent);
	}

	private async sendSequentially(): Promise<void> {
		const endMs = this.startMs + this.options.durationMs;
		for (;;) {
			const nowMs = this.timers.getNow();
			if (nowMs >= endMs) {
				return;
			}
			await this.send(nowMs);
		}
	}

	private async send(plannedMs: number): Promise<void> {
		const sequence = this.sequence++;
		const body = this.bodies.createBody(sequence);
		this.recorder.recordSend(this.timers.getNow() - plannedMs);
		const result = await this.client.send(sequence, body);
		this.recorder.recordResult(result, this.timers.getNow() - plannedMs);
	}
}
