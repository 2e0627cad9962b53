/**
 * Models one inference engine on a virtual clock, in steps. In each step every answer that has begun gets one token, and
 * one chunk of prompt tokens is processed. Requests hold a slot from their admission to their end. Running requests and
 * cached prompt parts share the memory, and the least recently used parts are evicted. A more urgent request preempts
 * the newest of the least urgent ones if no slot or memory is free, and a preempted prompt is processed again.
 */

import type { ITimerService } from '../../../../base/common/timerService';
import { EngineMemory } from './engineMemory';
import type { EngineRequest, EngineRun } from './engineRun';
import { compareRuns, computeMaxTokens, countUnread, createRun } from './engineRun';

/** Sizes and speeds of an engine. */
export interface PrefillEngineOptions {
	readonly slots: number;
	/** Requests that wait in the engine; further ones are refused. */
	readonly maxWaiting: number;
	readonly memoryTokens: number;
	readonly chunkTokens: number;
	readonly prefillTokensPerMs: number;
	/** Attention time per million pairs of a chunk's token and a token before it, in milliseconds. */
	readonly attentionMsPerMillionPairs: number;
	readonly stepMs: number;
	readonly stepMsPerRequest: number;
	readonly tokensPerEvent: number;
	readonly fetchedTokensPerMs: number;
}

/** Creates the options of an engine of usual size and speed. */
export function createEngineOptions(changes: Partial<PrefillEngineOptions> = {}): PrefillEngineOptions {
	return {
		slots: 12,
		maxWaiting: 25,
		memoryTokens: 322_000,
		chunkTokens: 1_024,
		prefillTokensPerMs: 64,
		attentionMsPerMillionPairs: 0.37,
		stepMs: 3.7,
		stepMsPerRequest: 0.02,
		tokensPerEvent: 9,
		fetchedTokensPerMs: 200,
		...changes,
	};
}

const tokenPairsPerMillion = 1e6;

/** An engine whose running and waiting requests are advanced step by step. */
export class PrefillEngine {
	readonly memory: EngineMemory;
	private waiting: EngineRun[] = [];
	private running: EngineRun[] = [];
	private arrivals = 0;
	private isStepping = false;
	private fetchEndMs = 0;
	private readonly fetching = new Set<EngineRequest>();

	constructor(
		private readonly timers: ITimerService,
		readonly options: PrefillEngineOptions,
		/** Shared parts that any engine of the fleet has processed. */
		private readonly processedParts: Set<string>,
		/** Returns how long a step takes now, as a multiple of the usual time. */
		private readonly getSlowness = () => 1,
	) {
		this.memory = new EngineMemory(options.memoryTokens);
	}

	/** Queues a request, or returns false if the queue is full. */
	submit(request: EngineRequest, fetchSource?: PrefillEngine): boolean {
		const { slots, maxWaiting, memoryTokens, fetchedTokensPerMs } = this.options;
		const queued = this.running.length + this.waiting.length + this.fetching.size;
		if (queued >= slots + maxWaiting || computeMaxTokens(request) > memoryTokens) {
			return false;
		}
		const { sharedPart, sharedTokens } = request;
		const isFetched = fetchSource?.memory.hasPart(sharedPart) === true && !this.memory.hasPart(sharedPart);
		if (!isFetched) {
			this.addWaiting(request);
			return true;
		}
		const nowMs = this.timers.getNow();
		this.fetchEndMs = Math.max(this.fetchEndMs, nowMs) + sharedTokens / fetchedTokensPerMs;
		this.fetching.add(request);
		this.timers.schedule(this.fetchEndMs - nowMs, () => {
			this.memory.keepPart(sharedPart, sharedTokens);
			if (this.fetching.delete(request)) {
				this.addWaiting(request);
			}
		});
		return true;
	}

	cancel(request: EngineRequest): void {
		this.fetching.delete(request);
		const run = [...this.running, ...this.waiting].find(other => other.request === request);
		if (run !== undefined) {
			this.remove(run);
		}
	}

	/** Returns the counts of a load report. */
	countRequests(): { readonly running: number; readonly waiting: number } {
		return { running: this.running.length, waiting: this.waiting.length + this.fetching.size };
	}

	/** Sums the prompt tokens that are to be processed. */
	sumUnreadTokens(): number {
		return [...this.running, ...this.waiting].reduce((sum, run) => sum + Math.max(0, countUnread(run)), 0);
	}

	private addWaiting(request: EngineRequest): void {
		this.waiting.push(createRun(request, ++this.arrivals, this.timers.getNow()));
		this.beginStep();
	}

	private beginStep(): void {
		if (this.isStepping) {
			return;
		}
		this.admitWaiting();
		if (this.running.length === 0) {
			return;
		}
		this.isStepping = true;
		const { stepMs, stepMsPerRequest } = this.options;
		const chunk = this.planChunk();
		const decoding = this.running.filter(run => countUnread(run) === 0);
		const readMs = chunk.reduce((sum, { run, tokens }) => sum + this.computeReadMs(run, tokens), 0);
		const usualMs = stepMs + stepMsPerRequest * this.running.length + readMs;
		this.timers.schedule(usualMs * this.getSlowness(), () => {
			this.isStepping = false;
			for (const { run, tokens } of chunk.filter(item => this.running.includes(item.run))) {
				this.finishRead(run, tokens);
			}
			for (const run of decoding.filter(item => this.running.includes(item))) {
				this.emitToken(run);
			}
			this.beginStep();
		});
	}

	private admitWaiting(): void {
		this.waiting.sort(compareRuns);
		for (let next = this.waiting[0]; next !== undefined; next = this.waiting[0]) {
			const needed = computeMaxTokens(next.request);
			while (!this.hasRoom(needed)) {
				const victim = this.findLeastUrgent();
				if (victim === undefined || victim.request.priority <= next.request.priority) {
					return;
				}
				this.pauseRun(victim);
			}
			this.waiting = this.waiting.filter(run => run !== next);
			next.request.work.waitMs += this.timers.getNow() - next.waitingSinceMs;
			this.memory.reserve(needed);
			this.running.push(next);
		}
	}

	private hasRoom(tokens: number): boolean {
		return this.running.length < this.options.slots && this.memory.clearRoom(tokens);
	}

	private findLeastUrgent(): EngineRun | undefined {
		return this.running.reduce<EngineRun | undefined>(
			(worst, run) => (worst === undefined || compareRuns(run, worst) >= 0 ? run : worst),
			undefined,
		);
	}

	private pauseRun(run: EngineRun): void {
		this.remove(run);
		run.request.work.preemptions++;
		run.readBeforeTokens = Math.max(run.readBeforeTokens, run.readyTokens);
		run.readyTokens = 0;
		run.hasBegunReading = false;
		run.waitingSinceMs = this.timers.getNow();
		this.waiting.push(run);
		this.waiting.sort(compareRuns);
	}

	private remove(run: EngineRun): void {
		if (this.running.includes(run)) {
			this.memory.release(
				computeMaxTokens(run.request) - (run.isSharedPartInUse ? run.request.sharedTokens : 0),
			);
			if (run.isSharedPartInUse) {
				this.memory.releasePart(run.request.sharedPart);
				run.isSharedPartInUse = false;
			}
		}
		this.running = this.running.filter(other => other !== run);
		this.waiting = this.waiting.filter(other => other !== run);
	}

	/** Divides one chunk among the prompts that are being read, the most urgent first. */
	private planChunk(): { readonly run: EngineRun; readonly tokens: number }[] {
		let left = this.options.chunkTokens;
		const chunk: { run: EngineRun; tokens: number }[] = [];
		for (const run of [...this.running].sort(compareRuns)) {
			if (left > 0 && countUnread(run) > 0) {
				this.findCachedPart(run);
				const tokens = Math.min(left, countUnread(run));
				left -= tokens;
				chunk.push({ run, tokens });
			}
		}
		return chunk;
	}

	private findCachedPart(run: EngineRun): void {
		const { sharedPart, sharedTokens } = run.request;
		if (run.hasBegunReading) {
			return;
		}
		run.hasBegunReading = true;
		if (this.memory.takePart(sharedPart)) {
			this.memory.release(sharedTokens);
			run.isSharedPartInUse = true;
			run.readyTokens = sharedTokens;
		}
	}

	private computeReadMs(run: EngineRun, tokens: number): number {
		const { prefillTokensPerMs, attentionMsPerMillionPairs } = this.options;
		const pairs = tokens * (run.readyTokens + tokens / 2);
		return tokens / prefillTokensPerMs + (attentionMsPerMillionPairs * pairs) / tokenPairsPerMillion;
	}

	private finishRead(run: EngineRun, tokens: number): void {
		const { sharedPart, sharedTokens, work } = run.request;
		const sharedRead = Math.min(tokens, Math.max(0, sharedTokens - run.readyTokens));
		const sharedAgain = this.processedParts.has(sharedPart) ? sharedRead : 0;
		const ownAgain = Math.max(0, Math.min(tokens, run.readBeforeTokens - run.readyTokens) - sharedRead);
		work.readTokens += tokens;
		work.readAgainTokens += sharedAgain + ownAgain;
		run.readyTokens += tokens;
		if (sharedTokens > 0 && run.readyTokens >= sharedTokens && !run.isSharedPartInUse) {
			this.processedParts.add(sharedPart);
			this.memory.release(sharedTokens);
			this.memory.keepPart(sharedPart, sharedTokens);
			run.isSharedPartInUse = this.memory.takePart(sharedPart);
		}
		if (countUnread(run) === 0) {
			this.emitToken(run);
		}
	}

	private emitToken(run: EngineRun): void {
		const { outputTokens, handleEvent, handleEnd } = run.request;
		run.outputTokens++;
		run.readyTokens++;
		const isEnd = run.outputTokens >= outputTokens;
		if (isEnd || run.outputTokens % this.options.tokensPerEvent === 0) {
			handleEvent();
		}
		if (isEnd) {
			this.remove(run);
			this.memory.keepPart(`own-${run.sequence}`, run.request.ownTokens + outputTokens);
			handleEnd();
		}
	}
}
