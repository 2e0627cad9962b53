/**
 * Model of an entry (the proxy process that schedules requests) in virtual time. It applies the decisions of a
 * scheduler as the real entry does. A request always ends at its deadline, regardless of the scheduler's decisions,
 * so that all schedulers are compared under the same caller behaviour.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type {
	IServiceScheduler,
	SchedulableRequest,
	SchedulableTarget,
	ScheduleDecision,
} from '../../entry/common/scheduling/serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../../entry/common/scheduling/serviceScheduler';
import type { RequestId, TargetId } from '../../core/ids/common/ids';
import type { TargetModel } from './targetModel';

/** A request and the properties that the target model needs. */
export interface ModelRequest {
	readonly request: SchedulableRequest;
	/** Processing time if the request runs alone on a healthy target. */
	readonly workMs: number;
	/** Additional processing time if the prompt prefix is not cached. */
	readonly coldMs: number;
	/** Whether the request may be served in its home region only. */
	readonly isHomeRegionOnly: boolean;
}

/** How a request ended for its caller. */
export enum ModelEnd {
	Answered = 'answered',
	Refused = 'refused',
	/** The last attempt failed or the deadline passed. */
	Failed = 'failed',
}

export interface ModelAnswer {
	readonly end: ModelEnd;
	readonly retryAfterMs: number | undefined;
}

interface OpenRequest {
	readonly model: ModelRequest;
	readonly answer: (answer: ModelAnswer) => void;
	readonly deadline: IDisposable;
	target: TargetModel | undefined;
	attempts: number;
}

/** Submits requests to one scheduler and runs the attempts that the scheduler starts. */
export class EntryModel {
	/** Attempts after the first one of each request. */
	retries = 0;
	attempts = 0;
	private readonly open = new Map<RequestId, OpenRequest>();
	private advanceTimer: IDisposable | undefined;
	private isAdvancing = false;

	constructor(
		private readonly timers: ITimerService,
		readonly scheduler: IServiceScheduler,
		private readonly targets: ReadonlyMap<TargetId, TargetModel>,
		/** One-way network delay to a target. */
		private readonly networkMs: number,
	) {}

	setTargets(targets: readonly SchedulableTarget[]): void {
		this.scheduler.setTargets(targets, this.timers.getNow());
		this.advance();
	}

	submit(model: ModelRequest, answer: (answer: ModelAnswer) => void): void {
		const nowMs = this.timers.getNow();
		const { id, deadlineMs } = model.request;
		const deadline = this.timers.schedule(deadlineMs - nowMs, () => {
			this.endAtDeadline(id);
		});
		this.open.set(id, { model, answer, deadline, target: undefined, attempts: 0 });
		this.scheduler.submit(model.request, nowMs);
		this.advance();
	}

	/** Passes the load report of a target to the scheduler. */
	noteLoad(target: TargetId, running: number, waiting: number, slots: number, ageMs: number): void {
		this.scheduler.noteLoad(target, { running, waiting, slots, ageMs }, this.timers.getNow());
		this.advance();
	}

	private advance(): void {
		if (this.isAdvancing) {
			return;
		}
		this.isAdvancing = true;
		for (;;) {
			const decisions = this.scheduler.advance(this.timers.getNow());
			if (decisions.length === 0) {
				break;
			}
			for (const decision of decisions) {
				this.applyDecision(decision);
			}
		}
		this.isAdvancing = false;
		this.scheduleAdvance();
	}

	private scheduleAdvance(): void {
		this.advanceTimer?.dispose();
		const dueMs = this.scheduler.getNextDueMs();
		if (dueMs === undefined) {
			return;
		}
		// The minimum delay of 0.1 ms lets virtual time progress even if the scheduler keeps returning the same due time.
		this.advanceTimer = this.timers.schedule(Math.max(0.1, dueMs - this.timers.getNow()), () => {
			this.advance();
		});
	}

	private applyDecision(decision: ScheduleDecision): void {
		const open = this.open.get(decision.requestId);
		if (open === undefined) {
			throw new Error(`scheduler decided on request ${decision.requestId}, which is not open`);
		}
		if (decision.kind === ScheduleDecisionKind.Refuse) {
			this.finish(decision.requestId, ModelEnd.Refused, decision.error.retryAfterMs);
			return;
		}
		const target = this.targets.get(decision.target);
		if (target === undefined || open.target !== undefined) {
			throw new Error(`request ${decision.requestId} was started twice or at an unknown target`);
		}
		this.startAttempt(open, target);
	}

	private startAttempt(open: OpenRequest, target: TargetModel): void {
		const { request, workMs, coldMs } = open.model;
		open.target = target;
		open.attempts++;
		this.attempts++;
		this.retries += open.attempts > 1 ? 1 : 0;
		const attempt = open.attempts;
		const isCurrent = (): boolean =>
			this.open.get(request.id) === open && open.attempts === attempt && open.target !== undefined;
		this.timers.schedule(this.networkMs, () => {
			if (!isCurrent()) {
				return;
			}
			target.submit({
				id: request.id,
				requestClass: request.requestClass,
				workMs,
				prefixKey: request.prefixKey,
				coldMs,
				noteFirstByte: () => {
					this.scheduler.noteFirstByte(request.id, this.timers.getNow());
				},
				noteEnd: end => {
					this.timers.schedule(this.networkMs, () => {
						if (isCurrent()) {
							this.endAttempt(open, end);
						}
					});
				},
			});
		});
	}

	private endAttempt(open: OpenRequest, end: AttemptEnd): void {
		const { id } = open.model.request;
		open.target = undefined;
		const isRetried = this.scheduler.noteEnd(id, end, this.timers.getNow());
		if (!isRetried) {
			this.finish(id, end === AttemptEnd.Answered ? ModelEnd.Answered : ModelEnd.Failed, undefined);
		}
		this.advance();
	}

	private endAtDeadline(id: RequestId): void {
		const open = this.open.get(id);
		if (open === undefined) {
			return;
		}
		const nowMs = this.timers.getNow();
		if (open.target === undefined) {
			this.scheduler.cancel(id, nowMs);
		} else {
			open.target.cancel(id);
			this.scheduler.noteEnd(id, AttemptEnd.Cancelled, nowMs);
		}
		this.finish(id, ModelEnd.Failed, undefined);
		this.advance();
	}

	private finish(id: RequestId, end: ModelEnd, retryAfterMs: number | undefined): void {
		const open = this.open.get(id);
		open?.deadline.dispose();
		this.open.delete(id);
		open?.answer({ end, retryAfterMs });
	}
}
