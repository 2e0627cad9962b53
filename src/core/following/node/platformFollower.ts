/**
 * Tracks a versioned document of the platform by long polling. After a failed read it pauses, and reads wait for
 * the next version again only after an answer.
 */

import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { waitFor } from '../../../base/common/waitFor';
import type { WatchTimings } from '../common/watchBackoff';
import { computeWatchTimings, WatchBackoff } from '../common/watchBackoff';
import type { PlatformRead } from '../../platformClient/node/platformClient';

/** A document whose version increases with each change. */
interface IVersioned {
	readonly version: number;
}

/** Waits up to `waitMs` for a version of the document above `after`. */
export type ReadDocument<TDocument extends IVersioned> = (
	after: number,
	waitMs: number,
	signal: AbortSignal,
) => PlatformRead<TDocument>;

/** Emits each newer version of a document. */
export class PlatformFollower<TDocument extends IVersioned> extends Disposable {
	private readonly abort = new AbortController();
	private readonly documents = this.register(new Channel<TDocument>());
	private readonly timings: WatchTimings;
	private readonly backoff: WatchBackoff;
	private lastVersion = 0;
	private readCount = 0;
	private lastAnswerMs: number | undefined;

	readonly onDidRead: Stream<TDocument> = this.documents.stream;

	/** @param maxDelayMs Maximum delay in milliseconds with which a version is received while the platform answers. */
	constructor(
		private readonly readDocument: ReadDocument<TDocument>,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		maxDelayMs: number,
	) {
		super();
		this.timings = computeWatchTimings(maxDelayMs);
		this.backoff = new WatchBackoff(this.timings, random);
		this.register(
			toDisposable(() => {
				this.abort.abort();
			}),
		);
	}

	/** Reads new versions until disposed. */
	async follow(): Promise<void> {
		while (!this.abort.signal.aborted) {
			await this.readOnce();
		}
	}

	/** Number of reads made so far, including one that is still waiting. */
	countReads(): number {
		return this.readCount;
	}

	/** Milliseconds since the platform last answered, or undefined before the first answer. */
	getTimeSinceAnswerMs(): number | undefined {
		return this.lastAnswerMs === undefined ? undefined : this.timers.getNow() - this.lastAnswerMs;
	}

	private async readOnce(): Promise<void> {
		this.readCount++;
		const startedMs = this.timers.getNow();
		const waitMs = this.backoff.computeWaitMs();
		const read = await this.readDocument(this.lastVersion, waitMs, this.abort.signal);
		if (read.isErr()) {
			this.backoff.recordFailure();
			// Random jitter: processes that retry exactly at the same `retry-after` time would be rejected again.
			const pauseMs = (read.error.retryAfterMs ?? 0) + this.backoff.computePauseMs();
			await waitFor(this.timers, pauseMs, this.abort.signal);
			return;
		}
		this.backoff.recordAnswer();
		this.lastAnswerMs = this.timers.getNow();
		if (read.value !== undefined) {
			this.lastVersion = read.value.version;
			this.documents.emit(read.value);
		} else if (waitMs > 0) {
			await this.waitAfterEarlyAnswer(startedMs);
		}
	}

	/** Prevents a tight loop if the platform reports no new version without waiting. */
	private async waitAfterEarlyAnswer(startedMs: number): Promise<void> {
		const { minPauseMs } = this.timings;
		const tookMs = this.timers.getNow() - startedMs;
		if (tookMs < minPauseMs) {
			const jitterMs = this.random.pickFraction() * minPauseMs;
			await waitFor(this.timers, minPauseMs + jitterMs, this.abort.signal);
		}
	}
}
