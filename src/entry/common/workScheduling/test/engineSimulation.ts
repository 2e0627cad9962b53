/**
 * Engines on a virtual clock: each reads prompts one after the other, the most urgent first, keeps the parts
 * that it has read, and streams for a while. Requests go through a scheduler; what callers received is counted.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { OrganisationName, RequestId, TargetId, ZoneName } from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import type { PromptShape } from '../../prompts/promptShape';
import type {
	IServiceScheduler,
	SchedulableRequest,
	SchedulableTarget,
	StartDecision,
} from '../../scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../../scheduling/serviceScheduler';

/** A kind of request. */
export interface RequestKind {
	readonly name: string;
	readonly perSecond: number;
	/** How many shared parts there are, and the size of each in tokens. */
	readonly sharedParts: number;
	readonly sharedTokens: number;
	readonly ownTokens: number;
	readonly urgency: number;
	readonly aimMs: number;
	readonly deadlineMs: number;
	/** How long the answer runs after its first event. */
	readonly runMs: number;
}

/** How the engines are. */
export interface EngineOptions {
	readonly engines: number;
	readonly slots: number;
	readonly tokensPerMs: number;
	readonly cacheTokens: number;
	/** Entries that share the engines, each with a scheduler that sees its own requests only; 1 if left out. */
	readonly entries?: number;
	/** Factor on the work of an engine, by its place. */
	readonly slowness?: Readonly<Record<number, number>>;
}

/** What callers of one kind received. */
export interface KindResult {
	asked: number;
	inAim: number;
	late: number;
	refused: number;
	/** Longest time from the arrival to a refusal, in milliseconds. */
	longestRefusalMs: number;
}

/** What happened. */
export interface WorldResult {
	readonly kinds: ReadonlyMap<string, KindResult>;
	/** Tokens of shared parts read by an engine that another one had read before. */
	readonly readAgain: number;
}

interface Engine {
	readonly id: TargetId;
	readonly held: Set<string>;
	readonly slowness: number;
	/** Prompts to read, in order. */
	readonly line: WaitingPrompt[];
	isReading: boolean;
}

interface WaitingPrompt {
	readonly urgency: number;
	/** Reads it, and gives how long that takes in milliseconds. */
	readonly read: () => number;
	readonly handleRead: () => void;
}

interface KnownRequest {
	readonly request: SchedulableRequest;
	readonly kind: RequestKind;
	readonly scheduler: IServiceScheduler;
}

const firstEventMs = 30;
/** One engine fetches from another at this rate. */
const fetchedTokensPerMs = 200;
const stepMs = 5;
/** Between the random numbers of two entries. */
const seedStep = 1_000;

/** An engine as its registration describes it to one of the entries that share it. */
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
			place: 0,
			endsMs: Infinity,
			cacheTokens,
		},
	};
}

/** A request for one answer to a prompt. */
export function createPromptedRequest(
	id: RequestId,
	prompt: PromptShape,
	{ aimMs, deadlineMs, urgency }: Pick<RequestKind, 'aimMs' | 'deadlineMs' | 'urgency'>,
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
		work: { dueMs: nowMs + aimMs, urgency, prompt, mostAttempts: 1, isResumable: false },
	};
}

/** Plays arrivals for a while, and lets what is under way end. */
export function runEngines(
	createScheduler: (random: SeededRandom) => IServiceScheduler,
	kinds: readonly RequestKind[],
	options: EngineOptions,
	seconds: number,
	seed: number,
): WorldResult {
	const schedulers = Array.from({ length: options.entries ?? 1 }, (_, place) =>
		createScheduler(new SeededRandom(seed + place * seedStep)),
	);
	return new EngineWorld(schedulers, kinds, options, seed).run(seconds);
}

class EngineWorld {
	private readonly timers = new ManualTimerService();
	private readonly random: SeededRandom;
	private readonly engines: Engine[];
	private readonly requests = new Map<RequestId, KnownRequest>();
	private readonly results = new Map<string, KindResult>();
	private readonly readSomewhere = new Set<string>();
	private readAgain = 0;
	private sent = 0;

	constructor(
		private readonly schedulers: readonly IServiceScheduler[],
		private readonly kinds: readonly RequestKind[],
		private readonly options: EngineOptions,
		seed: number,
	) {
		this.random = new SeededRandom(seed + 1);
		this.engines = Array.from({ length: options.engines }, (_, place) => ({
			id: `engine-${place + 1}` as TargetId,
			held: new Set<string>(),
			slowness: options.slowness?.[place] ?? 1,
			line: [],
			isReading: false,
		}));
		for (const { name } of kinds) {
			this.results.set(name, { asked: 0, inAim: 0, late: 0, refused: 0, longestRefusalMs: 0 });
		}
		for (const scheduler of schedulers) {
			scheduler.setTargets(
				this.engines.map(({ id }) => createEngineTarget(id, { ...options, entries: schedulers.length })),
				0,
			);
		}
	}

	run(seconds: number): WorldResult {
		for (const kind of this.kinds) {
			this.scheduleArrival(kind, seconds * 1_000);
		}
		for (let step = 0; step < (seconds * 1_000 + 20_000) / stepMs; step++) {
			this.timers.advance(stepMs);
			this.carryOut();
		}
		return { kinds: this.results, readAgain: this.readAgain };
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
		this.sent++;
		const id = `r-${this.sent}` as RequestId;
		const request = createPromptedRequest(id, this.createPrompt(kind, id), kind, nowMs);
		const scheduler = this.schedulers[this.random.pickBelow(this.schedulers.length)]!;
		this.requests.set(id, { request, kind, scheduler });
		this.getResult(kind).asked++;
		scheduler.submit(request, nowMs);
		this.carryOut();
	}

	private createPrompt(kind: RequestKind, id: RequestId): PromptShape {
		const shared = `${kind.name}-${this.random.pickBelow(kind.sharedParts)}`;
		return {
			parts: [
				{ id: shared, tokens: kind.sharedTokens },
				{ id, tokens: kind.ownTokens },
			],
			promptTokens: kind.sharedTokens + kind.ownTokens,
			mostOutputTokens: 100,
			hintedOutputTokens: undefined,
		};
	}

	private carryOut(): void {
		for (const scheduler of this.schedulers) {
			this.carryOutOf(scheduler);
		}
	}

	private carryOutOf(scheduler: IServiceScheduler): void {
		const nowMs = this.timers.getNow();
		for (const decision of scheduler.advance(nowMs)) {
			const known = this.requests.get(decision.requestId);
			if (known === undefined) {
				continue;
			}
			if (decision.kind === ScheduleDecisionKind.Start) {
				this.start(known, decision);
				continue;
			}
			const result = this.getResult(known.kind);
			result.refused++;
			result.longestRefusalMs = Math.max(result.longestRefusalMs, nowMs - known.request.arrivedMs);
		}
	}

	private start({ request, kind, scheduler }: KnownRequest, { target, fetchFrom }: StartDecision): void {
		const engine = this.engines.find(({ id }) => id === target)!;
		const holder = this.engines.find(({ id }) => id === fetchFrom);
		const { urgency, prompt, dueMs } = request.work!;
		this.admit(engine, {
			urgency,
			read: () => this.read(engine, prompt!, holder) * engine.slowness,
			handleRead: () => {
				this.timers.schedule(firstEventMs * engine.slowness, () => {
					const firstMs = this.timers.getNow();
					scheduler.noteFirstByte(request.id, firstMs);
					const result = this.getResult(kind);
					if (firstMs <= dueMs) {
						result.inAim++;
					} else {
						result.late++;
					}
					this.timers.schedule(kind.runMs, () => {
						scheduler.noteEnd(request.id, AttemptEnd.Answered, this.timers.getNow());
						this.carryOut();
					});
				});
			},
		});
	}

	private admit(engine: Engine, prompt: WaitingPrompt): void {
		const behind = engine.line.findIndex(({ urgency }) => urgency > prompt.urgency);
		engine.line.splice(behind < 0 ? engine.line.length : behind, 0, prompt);
		this.readNext(engine);
	}

	private readNext(engine: Engine): void {
		const next = engine.isReading ? undefined : engine.line.shift();
		if (next === undefined) {
			return;
		}
		engine.isReading = true;
		this.timers.schedule(next.read(), () => {
			engine.isReading = false;
			next.handleRead();
			this.readNext(engine);
		});
	}

	/** How long the engine is busy with the prompt; what it can fetch it need not read. */
	private read(engine: Engine, prompt: PromptShape, holder: Engine | undefined): number {
		const [shared] = prompt.parts;
		const { tokensPerMs } = this.options;
		const ownMs = (prompt.promptTokens - (shared?.tokens ?? 0)) / tokensPerMs;
		if (shared === undefined || engine.held.has(shared.id)) {
			return ownMs;
		}
		const isFetched = holder?.held.has(shared.id) === true;
		this.readAgain += !isFetched && this.readSomewhere.has(shared.id) ? shared.tokens : 0;
		this.readSomewhere.add(shared.id);
		engine.held.add(shared.id);
		while (engine.held.size * shared.tokens > this.options.cacheTokens) {
			engine.held.delete([...engine.held][0]!);
		}
		return ownMs + shared.tokens / (isFetched ? fetchedTokensPerMs : tokensPerMs);
	}

	private getResult(kind: RequestKind): KindResult {
		return this.results.get(kind.name)!;
	}
}
