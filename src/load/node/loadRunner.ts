/**
 * Carries a load run out: sends each request at its time, waits for the last answer and gives the result.
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

/** Requests that may be awaited at once in an open run; what is due beyond them counts as failed. */
const mostInFlight = 20_000;
/**
 * Below this time to the next arrival the loop is turned instead of a timer being set. Node's timers are
 * up to a millisecond late; that would be added to every latency and hide the differences of less than a
 * millisecond that a comparison looks for.
 */
const turnLoopBelowMs = 3;

/** Runs load; one runner may carry out several runs, one after another. */
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
	private readonly awaited = new Set<Promise<void>>();
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
		await Promise.all(this.awaited);
		return this.measure();
	}

	async runClosed(): Promise<LoadSummary> {
		const senders = this.options.connections * this.options.targetUrls.length;
		await Promise.all(Array.from({ length: senders }, () => this.sendInTurn()));
		return this.measure();
	}

	async close(): Promise<void> {
		await this.client.close();
	}

	private measure(): LoadSummary {
		return this.recorder.measure(this.timers.getNow() - this.startMs);
	}

	private async waitUntil(dueMs: number): Promise<void> {
		for (;;) {
			const leftMs = dueMs - this.timers.getNow();
			if (leftMs <= 0) {
				return;
			}
			if (leftMs < turnLoopBelowMs) {
				await waitForLoop();
			} else {
				await this.waitFor(leftMs - turnLoopBelowMs + 1);
			}
		}
	}

	private waitFor(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.timers.schedule(delayMs, resolve);
		});
	}

	private sendPlanned(plannedMs: number): void {
		if (this.awaited.size >= mostInFlight) {
			this.recorder.noteEnd({ kind: ResultKind.Failed, reason: 'not sent: too many in flight' }, 0);
			return;
		}
		const sent = this.send(plannedMs).finally(() => this.awaited.delete(sent));
		this.awaited.add(sent);
	}

	private async sendInTurn(): Promise<void> {
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
		this.recorder.noteSent(this.timers.getNow() - plannedMs);
		const verdict = await this.client.send(sequence, body);
		this.recorder.noteEnd(verdict, this.timers.getNow() - plannedMs);
	}
}
