/**
 * Checks the path to the platform's store while this entry waits for changes on behalf of others.
 *
 * A waiting watch looks the same whether nothing changes or the path is cut silently. Until its wait and its timeout are
 * over, the entry would present its state as current, and the entries that read from it would miss changes that they could
 * read themselves. Probes on another connection detect the cut within their interval and limit.
 */

import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import { RecentMaximum } from '../../../base/common/recentMaximum';
import type { ITimerService } from '../../../base/common/timerService';
import type { IStoreProbe } from '../../../core/store/common/storeClient';

/** Times of the probes in milliseconds. */
export interface ProbeTimes {
	readonly intervalMs: number;
	/** Time without an answer after which the path counts as lost, unless the store was slow lately. */
	readonly limitMs: number;
	/** Time after which a probe is cancelled. Later answers than the limit still show how slow the store is. */
	readonly cancelMs: number;
}

/** A slow store is not lost: the limit is at least this multiple of the slowest answer of the last minute. */
const slownessMargin = 3;
const answerMemoryMs = 60_000;

/** Timers run before sockets are read. After a long turn of the event loop an answer may have arrived unread. */
const socketReadMs = 20;

export class StorePathMonitor extends Disposable {
	private readonly losses = this.register(new Channel<string>());
	private readonly answerTimes = new RecentMaximum(answerMemoryMs);
	private isProbing = false;

	/** Emits why the path counts as lost. */
	readonly onDidLose: Stream<string> = this.losses.stream;

	/** @param isNeeded Whether other entries depend on a wait of this entry at present. */
	constructor(
		private readonly storeProbe: IStoreProbe,
		private readonly times: ProbeTimes,
		private readonly timers: ITimerService,
		private readonly isNeeded: () => boolean,
	) {
		super();
		this.register(
			subscribeTo(timers.watchTicks(times.intervalMs), () => {
				if (!this.isProbing && this.isNeeded()) {
					void this.probe();
				}
			}),
		);
	}

	private async probe(): Promise<void> {
		this.isProbing = true;
		const call = new AbortController();
		const startedMs = this.timers.getNow();
		const limitMs = this.computeLimitMs();
		let lateTimer = this.timers.schedule(limitMs, () => {
			lateTimer = this.timers.schedule(socketReadMs, () => {
				this.losses.emit(`no answer to a probe within ${Math.round(limitMs)} ms`);
			});
		});
		const cancelTimer = this.timers.schedule(this.times.cancelMs, () => {
			call.abort();
		});
		const answer = await this.storeProbe.probe(call.signal);
		lateTimer.dispose();
		cancelTimer.dispose();
		this.isProbing = false;
		if (answer.isOk()) {
			const nowMs = this.timers.getNow();
			this.answerTimes.add(nowMs - startedMs, nowMs);
		} else if (!call.signal.aborted) {
			this.losses.emit(`a probe failed: ${answer.error.detail}`);
		}
	}

	private computeLimitMs(): number {
		const slowestMs = this.answerTimes.get(this.timers.getNow()) ?? 0;
		return Math.min(this.times.cancelMs, Math.max(this.times.limitMs, slownessMargin * slowestMs));
	}
}
