/**
 * Simulates inference engines on a virtual clock. Each engine processes prompts one after the other, the most
 * urgent first, caches the parts that it has processed, and then streams its answer for some time. Requests go
 * through a scheduler, and the outcomes of callers are counted.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type {
	OrganisationName,
	RequestId,
	SoftwareVersion,
	TargetId,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import type { PromptShape } from '../../prompts/promptShape';
import type {
	IServiceScheduler,
	SchedulableRequest,
	SchedulableTarget,
	StartDecision,
} from '../../scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../../scheduling/serviceScheduler';

/** A kind of request, with its arrival rate, prompt and time limits. */
export interface RequestKind {
	readonly name: string;
	readonly perSecond: number;
	/** Number of different shared parts, and the size of each in tokens. */
	readonly sharedParts: number;
	readonly sharedTokens: number;
	readonly ownTokens: number;
	readonly urgency: number;
	/** Time from arrival to the due time of the first byte, in milliseconds. */
	readonly dueAfterMs: number;
	readonly deadlineMs: number;
	/** Duration of the answer after its first event, in milliseconds. */
	readonly runMs: number;
}

/** Properties of the simulated engines. */
export interface EngineOptions {
	readonly engines: number;
	readonly slots: number;
	readonly tokensPerMs: number;
	readonly cacheTokens: number;
	/** Entries that share the engines, each with its own scheduler that sees only its own requests; default 1. */
	readonly entries?: number;
	/** Factor on the processing times of an engine, by its index. */
	readonly slowness?: Readonly<Record<number, number>>;
}

/** Outcomes of the requests of one kind. */
export interface KindResult {
	submitted: number;
	onTime: number;
	late: number;
	refused: number;
	/** Longest time from the arrival to a refusal, in milliseconds. */
	longestRefusalMs: number;
}

/** Results of a simulation. */
export interface SimulationResult {
	readonly kinds: ReadonlyMap<string, KindResult>;
	/** Tokens of shared parts that an engine processed although an engine had processed them before. */
	readonly repeatedPrefillTokens: number;
}

interface Engine {
	readonly id: TargetId;
	readonly cachedParts: Set<string>;
	readonly slowness: number;
	/** Prompts to process, in order. */
	readonly queue: WaitingPrompt[];
	isPrefilling: boolean;
}

interface WaitingPrompt {
	readonly urgency: number;
	/** Updates the cache and returns the duration of the prefill, in milliseconds. */
	readonly beginPrefill: () => number;
	readonly handlePrefillEnd: () => void;
}

interface SubmittedRequest {
	readonly request: SchedulableRequest;
	readonly kind: RequestKind;
	readonly scheduler: IServiceScheduler;
}

const firstEventMs = 30;
/** Rate at which an engine fetches cached tokens from another. */
const fetchedTokensPerMs = 200;
const stepMs = 5;
/** Difference between the random seeds of two entries. */
const entrySeedOffset = 1_000;

/** Creates the description of an engine for one of the entries that share it. */
export function createEngineTarget(
	id: string,
	{ slots, cacheTokens, entries = 1 }: Pick<EngineOptions, 'slots' | 'cacheTokens' | 'entries'>,
): SchedulableTarget {
	return {
		id: id as TargetId,
		zone: 'kingston-a' as ZoneName,
		isSameZone: true,
		slots,
		share: 1 / entries,
		isLeaving: false,
		registered: {
			generation: 1,
			coldUntilMs: 0,
			coldRequestsPerSecond: Infinity,
			entries,
			senderRank: 0,
			endsMs: Infinity,
			cacheTokens,
			findCertainVersion: () => 'v1' as SoftwareVersion,
		},
	};
}

/** Creates a prompt that shares no part with others. */
export function createUnsharedPrompt(id: string, tokens: number): PromptShape {
	return {
		parts: [{ id, tokens }],
		promptTokens: tokens,
		maxOutputTokens: 100,
		hintedOutputTokens: undefined,
	};
}

/** Creates a request for an answer to a prompt. */
export function createPromptedRequest(
	id: RequestId,
	prompt: PromptShape,
	{ dueAfterMs, deadlineMs, urgency }: Pick<RequestKind, 'dueAfterMs' | 'deadlineMs' | 'urgency'>,
	nowMs: number,
): SchedulableRequest {
	return {
		id,
		organisation: 'callers' as OrganisationName,
		requestClass: RequestClass.Normal,
		arrivedMs: nowMs,
		deadlineMs: nowMs + deadlineMs,
		prefixKey: undefined,
		bodyBytes: 100,
		isRepeatable: false,
		work: { dueMs: nowMs + dueAfterMs, urgency, prompt, maxAttempts: 1, isResumable: false },
	};
}

/** Simulates arrivals for a number of seconds, and then lets the remaining requests finish. */
export function runEngineSimulation(
	createScheduler: (random: SeededRandom) => IServiceScheduler,
	kinds: readonly RequestKind[],
	options: EngineOptions,
	seconds: number,
	seed: number,
): SimulationResult {
	const schedulers = Array.from({ length: options.entries ?? 1 }, (_, index) =>
		createScheduler(new SeededRandom(seed + index * entrySeedOffset)),
	);
	return new EngineSimulation(schedulers, kinds, options, seed).run(seconds);
}

class EngineSimulation {
	private readonly timers = new ManualTimerService();
	private readonly random: SeededRandom;
	private readonly engines: Engine[];
	private readonly submittedRequests = new Map<RequestId, SubmittedRequest>();
	private readonly results = new Map<string, KindResult>();
	private readonly prefilledParts = new Set<string>();
	private repeatedPrefillTokens = 0;
	private submittedCount = 0;

	constructor(
		private readonly schedulers: readonly IServiceScheduler[],
		private readonly kinds: readonly RequestKind[],
		private readonly options: EngineOptions,
		seed: number,
	) {
		this.random = new SeededRandom(seed + 1);
		this.engines = Array.from({ length: options.engines }, (_, index) => ({
			id: `engine-${index + 1}` as TargetId,
			cachedParts: new Set<string>(),
			slowness: options.slowness?.[index] ?? 1,
			queue: [],
			isPrefilling: false,
		}));
		for (const { name } of kinds) {
			this.results.set(name, { submitted: 0, onTime: 0, late: 0, refused: 0, longestRefusalMs: 0 });
		}
		for (const scheduler of schedulers) {
			scheduler.setTargets(
				this.engines.map(({ id }) => createEngineTarget(id, { ...options, entries: schedulers.length })),
				0,
			);
		}
	}

	run(seconds: number): SimulationResult {
		for (const kind of this.kinds) {
			this.scheduleArrival(kind, seconds * 1_000);
		}
		for (let step = 0; step < (seconds * 1_000 + 20_000) / stepMs; step++) {
			this.timers.advance(stepMs);
			this.applyDecisions();
		}
		return { kinds: this.results, repeatedPrefillTokens: this.repeatedPrefillTokens };
	}

	private scheduleArrival(kind: RequestKind, untilMs: number): void {
		const pauseMs = (-Math.log(1 - this.random.pickFraction()) * 1_000) / kind.perSecond;
		if (this.timers.getNow() + pauseMs > untilMs) {
			return;
		}
		this.timers.schedule(pauseMs, () => {
			this.submit(kind);
			this.scheduleArrival(kind, untilMs);
		});
	}

	private submit(kind: RequestKind): void {
		const nowMs = this.timers.getNow();
		this.submittedCount++;
		const id = `r-${this.submittedCount}` as RequestId;
		const request = createPromptedRequest(id, this.createPrompt(kind, id), kind, nowMs);
		const scheduler = this.schedulers[this.random.pickBelow(this.schedulers.length)]!;
		this.submittedRequests.set(id, { request, kind, scheduler });
		this.getResult(kind).submitted++;
		scheduler.submit(request, nowMs);
		this.applyDecisions();
	}

	private createPrompt(kind: RequestKind, id: RequestId): PromptShape {
		const shared = `${kind.name}-${this.random.pickBelow(kind.sharedParts)}`;
		return {
			parts: [
				{ id: shared, tokens: kind.sharedTokens },
				{ id, tokens: kind.ownTokens },
			],
			promptTokens: kind.sharedTokens + kind.ownTokens,
			maxOutputTokens: 100,
			hintedOutputTokens: undefined,
		};
	}

	private applyDecisions(): void {
		for (const scheduler of this.schedulers) {
			this.applyDecisionsOf(scheduler);
		}
	}

	private applyDecisionsOf(scheduler: IServiceScheduler): void {
		const nowMs = this.timers.getNow();
		for (const decision of scheduler.advance(nowMs)) {
			const submitted = this.submittedRequests.get(decision.requestId);
			if (submitted === undefined) {
				continue;
			}
			if (decision.kind === ScheduleDecisionKind.Start) {
				this.start(submitted, decision);
				continue;
			}
			const result = this.getResult(submitted.kind);
			result.refused++;
			result.longestRefusalMs = Math.max(result.longestRefusalMs, nowMs - submitted.request.arrivedMs);
		}
	}

	private start({ request, kind, scheduler }: SubmittedRequest, { target, fetchFrom }: StartDecision): void {
		const engine = this.engines.find(({ id }) => id === target)!;
		const fetchSource = this.engines.find(({ id }) => id === fetchFrom);
		const { urgency, prompt, dueMs } = request.work!;
		this.addPrompt(engine, {
			urgency,
			beginPrefill: () => this.beginPrefill(engine, prompt!, fetchSource) * engine.slowness,
			handlePrefillEnd: () => {
				this.timers.schedule(firstEventMs * engine.slowness, () => {
					const firstByteMs = this.timers.getNow();
					scheduler.noteFirstByte(request.id, firstByteMs);
					const result = this.getResult(kind);
					if (firstByteMs <= dueMs) {
						result.onTime++;
					} else {
						result.late++;
					}
					this.timers.schedule(kind.runMs, () => {
						scheduler.noteEnd(request.id, AttemptEnd.Answered, this.timers.getNow());
						this.applyDecisions();
					});
				});
			},
		});
	}

	private addPrompt(engine: Engine, prompt: WaitingPrompt): void {
		const insertIndex = engine.queue.findIndex(({ urgency }) => urgency > prompt.urgency);
		engine.queue.splice(insertIndex < 0 ? engine.queue.length : insertIndex, 0, prompt);
		this.beginNextPrefill(engine);
	}

	private beginNextPrefill(engine: Engine): void {
		const next = engine.isPrefilling ? undefined : engine.queue.shift();
		if (next === undefined) {
			return;
		}
		engine.isPrefilling = true;
		this.timers.schedule(next.beginPrefill(), () => {
			engine.isPrefilling = false;
			next.handlePrefillEnd();
			this.beginNextPrefill(engine);
		});
	}

	/** Updates the cache and returns the processing time of a prompt, of which cached and fetchable parts need less. */
	private beginPrefill(engine: Engine, prompt: PromptShape, fetchSource: Engine | undefined): number {
		const [shared] = prompt.parts;
		const { tokensPerMs } = this.options;
		const ownMs = (prompt.promptTokens - (shared?.tokens ?? 0)) / tokensPerMs;
		if (shared === undefined || engine.cachedParts.has(shared.id)) {
			return ownMs;
		}
		const isFetched = fetchSource?.cachedParts.has(shared.id) === true;
		this.repeatedPrefillTokens += !isFetched && this.prefilledParts.has(shared.id) ? shared.tokens : 0;
		this.prefilledParts.add(shared.id);
		engine.cachedParts.add(shared.id);
		while (engine.cachedParts.size * shared.tokens > this.options.cacheTokens) {
			engine.cachedParts.delete([...engine.cachedParts][0]!);
		}
		return ownMs + shared.tokens / (isFetched ? fetchedTokensPerMs : tokensPerMs);
	}

	private getResult(kind: RequestKind): KindResult {
		return this.results.get(kind.name)!;
	}
}
