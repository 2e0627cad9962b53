/**
 * Simulates callers, entries and targets of one region on a virtual clock. A seed generates the same caller requests
 * for every scheduler, so that two runs differ only in the decisions of their schedulers.
 */

import { ManualTimerService } from '../../base/common/manualTimerService';
import type { IRandom } from '../../base/common/random';
import { SeededRandom } from '../../base/common/random';
import { computeMixedHash } from '../../entry/common/scheduling/prefixRanking';
import type { IServiceScheduler, SchedulableTarget } from '../../entry/common/scheduling/serviceScheduler';
import type { RequestId, TargetId, ZoneName } from '../../core/ids/common/ids';
import type { RequestClass } from '../../core/requests/common/requestClass';
import type { ModelAnswer, ModelRequest } from './entryModel';
import { EntryModel, ModelEnd } from './entryModel';
import { TargetModel } from './targetModel';
import type { RequestKind } from './workload';
import { planArrivals } from './workload';

/** When callers resend a refused request. */
export enum ResendRule {
	Never = 'never',
	/** After the delay given in the refusal. */
	AfterRetryDelay = 'when-told',
	/** After 200 ms, regardless of the delay given in the refusal. */
	AfterFixedDelay = 'at-once',
}

/** A change to the targets at a given time of the run, such as an outage. */
export interface ModelEvent {
	readonly atMs: number;
	readonly apply: (targets: readonly TargetModel[]) => void;
}

/** Configuration of a run. */
export interface ExperimentOptions {
	readonly seed: number;
	readonly createScheduler: (random: IRandom) => IServiceScheduler;
	readonly kinds: readonly RequestKind[];
	/** Time during which callers send requests. */
	readonly durationMs: number;
	/**
	 * Start of the counted part of the run. Requests that are planned outside the counted part cause load but
	 * are not recorded.
	 */
	readonly countFromMs: number;
	readonly countUntilMs: number;
	readonly targetCount: number;
	readonly slots: number;
	readonly entryCount: number;
	readonly batchSlowdown: number;
	readonly cachedPrefixes: number;
	/** Interval between two load reports of a target. 0 disables load reports. */
	readonly reportPeriodMs: number;
	/** Age of a load report when it arrives at the entries. */
	readonly reportLagMs: number;
	readonly resend: ResendRule;
	readonly events: readonly ModelEvent[];
}

/** Outcome of one caller's request, including its resends. */
export interface CallerRecord {
	readonly requestClass: RequestClass;
	readonly organisation: string;
	readonly plannedMs: number;
	/** Processing time of the request alone on a healthy target. Weighs the request in the work goodput. */
	readonly workMs: number;
	endMs: number;
	end: ModelEnd | undefined;
	/** Number of sends, including the first. */
	sends: number;
	/** Longest time from a send to its refusal. */
	longestRefusalMs: number;
	/** Earliest time of a resend according to each refusal, in monotonic milliseconds. */
	readonly retryNotBeforeMs: number[];
	/** Time of each send, in monotonic milliseconds. */
	readonly sentMs: number[];
}

/** Result of a run. */
export interface ExperimentResult {
	readonly records: readonly CallerRecord[];
	readonly targets: readonly TargetModel[];
	/** Number of answered sends, including those outside the counted part. */
	readonly answers: number;
	readonly attempts: number;
	readonly retries: number;
	/** Length of the counted part. */
	readonly countedMs: number;
	/** Time during which callers sent requests. */
	readonly runMs: number;
}

export const defaultExperiment: Omit<ExperimentOptions, 'createScheduler' | 'kinds'> = {
	seed: 1,
	durationMs: 60_000,
	countFromMs: 0,
	countUntilMs: Number.POSITIVE_INFINITY,
	targetCount: 8,
	slots: 8,
	entryCount: 1,
	batchSlowdown: 0.25,
	cachedPrefixes: 32,
	reportPeriodMs: 1_000,
	reportLagMs: 500,
	resend: ResendRule.Never,
	events: [],
};

const networkMs = 0.5;
const fixedResendDelayMs = 200;
const maxSends = 20;

/** Runs one experiment until the deadline of the last request has passed. */
export class Experiment {
	private readonly timers = new ManualTimerService();
	private readonly random: IRandom;
	private readonly targets: TargetModel[] = [];
	private readonly entries: EntryModel[] = [];
	private readonly records: CallerRecord[] = [];
	private answers = 0;

	constructor(private readonly options: ExperimentOptions) {
		this.random = new SeededRandom(options.seed * 7_919 + 1);
		this.createTargets();
		this.createEntries();
	}

	run(): ExperimentResult {
		const { kinds, durationMs, events, seed, countFromMs, countUntilMs } = this.options;
		const planned = planArrivals(kinds, durationMs, new SeededRandom(seed));
		const longestMs = Math.max(...kinds.map(kind => kind.deadlineMs));
		for (const event of events) {
			this.timers.schedule(event.atMs, () => {
				event.apply(this.targets);
			});
		}
		this.scheduleReports();
		for (const { atMs, model } of planned) {
			this.timers.advance(atMs - this.timers.getNow());
			this.submitFirst(model);
		}
		this.timers.advance(durationMs - this.timers.getNow() + longestMs);
		return {
			records: this.records,
			targets: this.targets,
			answers: this.answers,
			attempts: this.entries.reduce((sum, entry) => sum + entry.attempts, 0),
			retries: this.entries.reduce((sum, entry) => sum + entry.retries, 0),
			countedMs: Math.min(durationMs, countUntilMs) - countFromMs,
			runMs: durationMs,
		};
	}

	private submitFirst(model: ModelRequest): void {
		const { requestClass, organisation, arrivedMs } = model.request;
		const record: CallerRecord = {
			requestClass,
			organisation,
			plannedMs: arrivedMs,
			workMs: model.workMs,
			endMs: Number.POSITIVE_INFINITY,
			end: undefined,
			sends: 0,
			longestRefusalMs: 0,
			retryNotBeforeMs: [],
			sentMs: [],
		};
		if (arrivedMs >= this.options.countFromMs && arrivedMs < this.options.countUntilMs) {
			this.records.push(record);
		}
		this.send(model, record);
	}

	private send(model: ModelRequest, record: CallerRecord): void {
		const sentMs = this.timers.getNow();
		record.sends++;
		record.sentMs.push(sentMs);
		const entry = this.entries[this.random.pickBelow(this.entries.length)];
		entry?.submit(model, answer => {
			this.receive(model, record, sentMs, answer);
		});
	}

	private receive(model: ModelRequest, record: CallerRecord, sentMs: number, answer: ModelAnswer): void {
		const nowMs = this.timers.getNow();
		record.end = answer.end;
		record.endMs = nowMs;
		this.answers += answer.end === ModelEnd.Answered ? 1 : 0;
		if (answer.end !== ModelEnd.Refused) {
			return;
		}
		record.longestRefusalMs = Math.max(record.longestRefusalMs, nowMs - sentMs);
		const delayMs = this.computeResendDelay(answer);
		record.retryNotBeforeMs.push(nowMs + (answer.retryAfterMs ?? 0));
		if (delayMs !== undefined && record.sends < maxSends && nowMs + delayMs < this.options.durationMs) {
			this.timers.schedule(delayMs, () => {
				this.send(createResend(model, record.sends, this.timers.getNow()), record);
			});
		}
	}

	private computeResendDelay(answer: ModelAnswer): number | undefined {
		switch (this.options.resend) {
			case ResendRule.Never:
				return undefined;
			case ResendRule.AfterFixedDelay:
				return fixedResendDelayMs;
			case ResendRule.AfterRetryDelay:
				return answer.retryAfterMs;
		}
	}

	private createTargets(): void {
		const { targetCount, slots, batchSlowdown, cachedPrefixes } = this.options;
		for (let index = 0; index < targetCount; index++) {
			const id = `target-${index}` as TargetId;
			this.targets.push(new TargetModel(this.timers, { id, slots, batchSlowdown, cachedPrefixes }));
		}
	}

	private createEntries(): void {
		const { entryCount, slots, createScheduler, seed } = this.options;
		const byId = new Map(this.targets.map(target => [target.options.id, target]));
		const listed: SchedulableTarget[] = this.targets.map(({ options: { id } }) => ({
			id,
			zone: 'zone-a' as ZoneName,
			isSameZone: true,
			slots,
			share: 1 / entryCount,
			isLeaving: false,
		}));
		for (let index = 0; index < entryCount; index++) {
			const scheduler = createScheduler(new SeededRandom(computeMixedHash(seed, index)));
			const entry = new EntryModel(this.timers, scheduler, byId, networkMs);
			entry.setTargets(listed);
			this.entries.push(entry);
		}
	}

	private scheduleReports(): void {
		const { reportPeriodMs, reportLagMs } = this.options;
		if (reportPeriodMs === 0) {
			return;
		}
		for (const [index, target] of this.targets.entries()) {
			const firstMs = (reportPeriodMs * (index + 1)) / this.targets.length;
			this.timers.schedule(firstMs, () => {
				this.sendReport(target, reportPeriodMs, reportLagMs);
			});
		}
	}

	private sendReport(target: TargetModel, periodMs: number, lagMs: number): void {
		const { runningCount, waitingCount } = target;
		const { id, slots } = target.options;
		this.timers.schedule(lagMs, () => {
			for (const entry of this.entries) {
				entry.noteLoad(id, runningCount, waitingCount, slots, lagMs);
			}
		});
		this.timers.schedule(periodMs, () => {
			this.sendReport(target, periodMs, lagMs);
		});
	}
}

/** Copies a request for a resend, with a new id and a deadline relative to the time of the resend. */
function createResend(model: ModelRequest, sends: number, nowMs: number): ModelRequest {
	const { request } = model;
	const [originalId = request.id] = request.id.split('+');
	const timeoutMs = request.deadlineMs - request.arrivedMs;
	return {
		...model,
		request: {
			...request,
			id: `${originalId}+${sends}` as RequestId,
			arrivedMs: nowMs,
			deadlineMs: nowMs + timeoutMs,
		},
	};
}
