/**
 * Follows one of the platform's documents: hangs on a watch for the next version, again and again. When the
 * platform refuses or is away, it pauses, and hangs again only after an answer.
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

/** A document with a version. */
interface IVersioned {
	readonly version: number;
}

/** One read of a document, as a client gives it. */
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

	/** @param maxDelayMs By how many milliseconds a version may be late once the platform answers. */
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

	/** Follows until disposed of. */
	async follow(): Promise<void> {
		while (!this.abort.signal.aborted) {
			await this.readOnce();
		}
	}

	/** Reads made so far, waiting watches counted once. */
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
			// Told the same time, a fleet that came back exactly then would be refused together again.
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

	/** A platform that says "nothing new" at once must not be asked again in a tight loop. */
	private async waitAfterEarlyAnswer(startedMs: number): Promise<void> {
		const { minPauseMs } = this.timings;
		const tookMs = this.timers.getNow() - startedMs;
		if (tookMs < minPauseMs) {
			const jitterMs = this.random.pickFraction() * minPauseMs;
			await waitFor(this.timers, minPauseMs + jitterMs, this.abort.signal);
		}
	}
}
