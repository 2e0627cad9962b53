/**
 * Baseline for the measurements of other schedulers: first in, first out, to the target with the fewest
 * requests in flight, without admission control, fairness or retries.
 */

import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { RequestId, TargetId } from '../../../core/ids/common/ids';
import type {
	IServiceScheduler,
	SchedulableRequest,
	SchedulableTarget,
	ScheduleDecision,
	ServiceRoom,
	TargetRoom,
} from './serviceScheduler';
import { ScheduleDecisionKind } from './serviceScheduler';

const fixedRetryAfterMs = 1_000;

interface TargetState {
	readonly target: SchedulableTarget;
	running: number;
}

/** First-in, first-out scheduler that selects the target with the fewest requests in flight. */
export class FifoScheduler implements IServiceScheduler {
	private readonly waiting: SchedulableRequest[] = [];
	private readonly runningOn = new Map<RequestId, TargetId>();
	private targets = new Map<TargetId, TargetState>();

	setTargets(targets: readonly SchedulableTarget[]): void {
		const previous = this.targets;
		this.targets = new Map(
			targets.map(target => [target.id, { target, running: previous.get(target.id)?.running ?? 0 }]),
		);
	}

	submit(request: SchedulableRequest): void {
		this.waiting.push(request);
	}

	advance(nowMs: number): readonly ScheduleDecision[] {
		const decisions: ScheduleDecision[] = [];
		while (this.waiting.length > 0) {
			const next = this.waiting[0];
			if (next === undefined) {
				break;
			}
			const decision = this.decideFor(next, nowMs);
			if (decision === undefined) {
				break;
			}
			this.waiting.shift();
			decisions.push(decision);
		}
		return decisions;
	}

	getNextDueMs(): number | undefined {
		return this.waiting[0]?.deadlineMs;
	}

	/** Does nothing: a pause ends by itself soon. */
	resumeTargets(): void {
		return;
	}

	/** Does nothing: all targets get requests while they connect. */
	noteHandedOver(): void {
		return;
	}

	noteFirstByte(): void {
		return;
	}

	noteEnd(requestId: RequestId): boolean {
		const state = this.targets.get(this.runningOn.get(requestId) ?? ('' as TargetId));
		if (state !== undefined) {
			state.running--;
		}
		this.runningOn.delete(requestId);
		return false;
	}

	/** Error answers of a target are forwarded to the caller. */
	isRetriable(): boolean {
		return false;
	}

	/** The next attempt finds another target, or waits for one. */
	noteSilence(): boolean {
		return true;
	}

	noteLoad(): void {
		return;
	}

	cancel(requestId: RequestId): void {
		const index = this.waiting.findIndex(request => request.id === requestId);
		if (index >= 0) {
			this.waiting.splice(index, 1);
		}
	}

	measureRoom(): ServiceRoom {
		const freeSlots = [...this.targets.values()].reduce(
			(sum, state) => sum + Math.max(0, state.target.slots * state.target.share - state.running),
			0,
		);
		return { waitMs: 0, freeSlots, running: this.runningOn.size, queued: this.waiting.length };
	}

	measureTarget(target: TargetId): TargetRoom {
		const state = this.targets.get(target);
		return state === undefined
			? { running: 0, limit: 0 }
			: { running: state.running, limit: state.target.slots * state.target.share };
	}

	private decideFor(request: SchedulableRequest, nowMs: number): ScheduleDecision | undefined {
		if (request.deadlineMs <= nowMs) {
			return this.createRefusal(request, ErrorKind.DeadlineUnreachable, 'the deadline passed in the queue');
		}
		const usable = [...this.targets.values()].filter(state => !state.target.isLeaving);
		if (usable.length === 0) {
			return this.createRefusal(request, ErrorKind.NoTarget, 'no target accepts new requests');
		}
		const best = this.findLeastLoaded(usable);
		if (best === undefined) {
			return undefined;
		}
		best.running++;
		this.runningOn.set(request.id, best.target.id);
		return {
			kind: ScheduleDecisionKind.Start,
			requestId: request.id,
			target: best.target.id,
			reason: `fewest requests in flight (${best.running})`,
		};
	}

	private findLeastLoaded(usable: readonly TargetState[]): TargetState | undefined {
		const free = usable.filter(state => state.running < Math.max(1, state.target.slots * state.target.share));
		return free.reduce<TargetState | undefined>(
			(best, state) => (best === undefined || state.running < best.running ? state : best),
			undefined,
		);
	}

	private createRefusal(request: SchedulableRequest, kind: ErrorKind, detail: string): ScheduleDecision {
		const error = createRequestError(kind, detail, { retryAfterMs: fixedRetryAfterMs });
		return { kind: ScheduleDecisionKind.Refuse, requestId: request.id, error };
	}
}
