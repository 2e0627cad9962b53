/**
 * Simulates several entries (proxy processes) that share inference engines, on a virtual clock. Each entry has its own
 * scheduler, which knows of an engine only its own requests and the load reports that come with answers. Callers leave
 * at their deadline or earlier, and return after a refusal if the retry delay leaves them enough time.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { IRandom } from '../../../../base/common/random';
import { SeededRandom } from '../../../../base/common/random';
import type { RequestId, TargetId } from '../../../../core/ids/common/ids';
import type { IServiceScheduler } from '../../scheduling/serviceScheduler';
import { createEngineTarget } from './engineSimulation';
import type { Caller, CallerResult, PromptKind } from './fleetCallers';
import { createCallers } from './fleetCallers';
import type { EntryOptions } from './modelEntry';
import { ModelEntry } from './modelEntry';
import type { PrefillEngineOptions } from './prefillEngine';
import { PrefillEngine } from './prefillEngine';

/** A fleet and its callers. */
export interface FleetOptions extends EntryOptions {
	readonly entries: number;
	readonly engines: number;
	readonly engine: PrefillEngineOptions;
	readonly kinds: readonly PromptKind[];
	readonly seconds: number;
	/** Largest share of the time left that callers wait before they return after a refusal; 0 if they do not return. */
	readonly maxReturnShare: number;
}

/** Creates the scheduler of one of the entries. */
export type CreateEntryScheduler = (random: IRandom, entries: number) => IServiceScheduler;

/** Difference between the random seeds of two entries. */
const entrySeedOffset = 1_000;
/** Time after the last arrival in which the remaining requests end, in milliseconds. */
const drainMs = 8_000;

/** Runs the fleet and returns the result of each caller. */
export function runFleetSimulation(
	createScheduler: CreateEntryScheduler,
	options: FleetOptions,
	seed: number,
): readonly CallerResult[] {
	return new FleetSimulation(createScheduler, options, seed).run();
}

class FleetSimulation {
	private readonly timers = new ManualTimerService();
	private readonly random: IRandom;
	private readonly entries: readonly ModelEntry[];
	private submittedCount = 0;

	constructor(
		createScheduler: CreateEntryScheduler,
		private readonly options: FleetOptions,
		seed: number,
	) {
		this.random = new SeededRandom(seed);
		const engines = this.createEngines();
		const { slots, memoryTokens: cacheTokens } = options.engine;
		const targets = [...engines.keys()].map(id =>
			createEngineTarget(id, { slots, cacheTokens, entries: options.entries }),
		);
		this.entries = Array.from({ length: options.entries }, (_, index) => {
			const scheduler = createScheduler(new SeededRandom(seed + index * entrySeedOffset), options.entries);
			scheduler.setTargets(targets, 0);
			return new ModelEntry(scheduler, engines, this.timers, options);
		});
	}

	run(): readonly CallerResult[] {
		const callers = createCallers(this.options.kinds, this.options.seconds, this.random);
		for (const caller of callers) {
			this.timers.schedule(caller.arrivedMs, () => {
				this.submit(caller);
			});
		}
		this.timers.advance(this.options.seconds * 1_000 + drainMs);
		return callers.map(({ result }) => result);
	}

	private createEngines(): ReadonlyMap<TargetId, PrefillEngine> {
		const processedParts = new Set<string>();
		const engines = new Map<TargetId, PrefillEngine>();
		for (let index = 0; index < this.options.engines; index++) {
			const engine = new PrefillEngine(this.timers, this.options.engine, processedParts);
			engines.set(`engine-${index + 1}` as TargetId, engine);
		}
		return engines;
	}

	private submit(caller: Caller): void {
		const id = `r-${++this.submittedCount}` as RequestId;
		const entry = this.entries[this.random.pickBelow(this.entries.length)]!;
		entry.submit(id, caller, retryAfterMs => {
			this.scheduleReturn(caller, retryAfterMs);
		});
	}

	private scheduleReturn(caller: Caller, retryAfterMs: number): void {
		const { kind, arrivedMs, result } = caller;
		const leftMs = arrivedMs + kind.deadlineMs - this.timers.getNow();
		if (retryAfterMs > leftMs * this.options.maxReturnShare || result.returns >= kind.maxReturns) {
			return;
		}
		result.returns++;
		this.timers.schedule(retryAfterMs, () => {
			this.submit(caller);
		});
	}
}
