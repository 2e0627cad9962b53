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
import type { WatchFigures } from '../common/watchPace';
import { planWatch, WatchPace } from '../common/watchPace';
import type { PlatformRead } from '../../platformClient/node/platformClient';

/** A document with a version. */
interface IVersioned {
	readonly version: number;
}

/** One read of a document, as a client gives it. */
export type ReadAfter<TDocument extends IVersioned> = (
	after: number,
	waitMs: number,
	signal: AbortSignal,
) => PlatformRead<TDocument>;

/** Emits each newer version of a document. */
export class PlatformFollower<TDocument extends IVersioned> extends Disposable {
	private readonly abort = new AbortController();
	private readonly documents = this.register(new Channel<TDocument>());
	private readonly figures: WatchFigures;
	private readonly pace: WatchPace;
	private lastVersion = 0;
	private reads = 0;
	private lastReadMs: number | undefined;

	readonly onDidRead: Stream<TDocument> = this.documents.stream;

	/** @param newsWithinMs By how many milliseconds a version may be late once the platform answers. */
	constructor(
		private readonly readAfter: ReadAfter<TDocument>,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		newsWithinMs: number,
	) {
		super();
		this.figures = planWatch(newsWithinMs);
		this.pace = new WatchPace(this.figures, random);
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
	getReads(): number {
		return this.reads;
	}

	/** Milliseconds since the platform last answered, or undefined before the first answer. */
	getSilenceMs(): number | undefined {
		return this.lastReadMs === undefined ? undefined : this.timers.getNow() - this.lastReadMs;
	}

	private async readOnce(): Promise<void> {
		this.reads++;
		const startedMs = this.timers.getNow();
		const waitMs = this.pace.planWaitMs();
		const read = await this.readAfter(this.lastVersion, waitMs, this.abort.signal);
		if (read.isErr()) {
			this.pace.noteFailed();
			// Told the same time, a fleet that came back exactly then would be refused together again.
			const pauseMs = (read.error.retryAfterMs ?? 0) + this.pace.computePauseMs();
			await waitFor(this.timers, pauseMs, this.abort.signal);
			return;
		}
		this.pace.noteAnswered();
		this.lastReadMs = this.timers.getNow();
		if (read.value !== undefined) {
			this.lastVersion = read.value.version;
			this.documents.emit(read.value);
		} else if (waitMs > 0) {
			await this.waitOutEarlyAnswer(startedMs);
		}
	}

	/** A platform that says "nothing new" at once must not be asked again in a tight loop. */
	private async waitOutEarlyAnswer(startedMs: number): Promise<void> {
		const { leastPauseMs } = this.figures;
		const tookMs = this.timers.getNow() - startedMs;
		if (tookMs < leastPauseMs) {
			const drawnMs = this.random.pickFraction() * leastPauseMs;
			await waitFor(this.timers, leastPauseMs + drawnMs, this.abort.signal);
		}
	}
}
