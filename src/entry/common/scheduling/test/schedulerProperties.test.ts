import * as fc from 'fast-check';
import { SeededRandom } from '../../../../base/common/random';
import type { OrganisationName, RequestId, TargetId } from '../../../../core/ids/common/ids';
import { RequestClass, requestClasses } from '../../../../core/requests/common/requestClass';
import { getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import { ServiceScheduler } from '../scheduler';
import type { SchedulableRequest, SchedulableTarget } from '../serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../serviceScheduler';
import { isNotRun } from '../attempt';
import { createRequest, createTarget } from './fixtures';

/**
 * Carries out the scheduler's decisions and checks them against its own record of waiting and running
 * requests.
 */
class SchedulerModel {
	nowMs = 0;
	readonly scheduler = new ServiceScheduler(new SeededRandom(7));
	readonly waiting = new Map<RequestId, SchedulableRequest>();
	readonly running = new Map<RequestId, TargetId>();
	readonly firstStarts: SchedulableRequest[] = [];
	private readonly submitted = new Map<RequestId, SchedulableRequest>();
	private readonly started = new Set<RequestId>();
	private readonly mayHaveRun = new Set<RequestId>();

	constructor(readonly targets: readonly SchedulableTarget[]) {
		this.scheduler.setTargets(targets, 0);
	}

	submit(request: SchedulableRequest): void {
		this.waiting.set(request.id, request);
		this.submitted.set(request.id, request);
		this.scheduler.submit(request, this.nowMs);
		this.advance();
	}

	end(id: RequestId, end: AttemptEnd): void {
		this.running.delete(id);
		if (!isNotRun(end)) {
			this.mayHaveRun.add(id);
		}
		const request = this.submitted.get(id)!;
		if (this.scheduler.noteEnd(id, end, this.nowMs)) {
			expect(isNotRun(end) || request.isRepeatable).toBe(true);
			this.waiting.set(id, request);
		}
		this.advance();
	}

	advance(): void {
		for (const decision of this.scheduler.advance(this.nowMs)) {
			const request = this.waiting.get(decision.requestId);
			expect(request).toBeDefined();
			this.waiting.delete(decision.requestId);
			if (decision.kind === ScheduleDecisionKind.Start) {
				this.noteStart(request!, decision.target);
			} else if (this.mayHaveRun.has(decision.requestId)) {
				expect(getOutcomeOf(decision.error)).toBe(Outcome.Unknown);
			}
		}
		this.checkLimits();
	}

	private noteStart(request: SchedulableRequest, target: TargetId): void {
		this.running.set(request.id, target);
		if (!this.started.has(request.id)) {
			this.started.add(request.id);
			this.firstStarts.push(request);
		}
	}

	private checkLimits(): void {
		for (const target of this.targets) {
			const running = [...this.running].filter(([, at]) => at === target.id).map(([id]) => id);
			const drafts = running.filter(id => this.submitted.get(id)?.requestClass === RequestClass.Draft);
			const share = target.slots * target.share;
			expect(drafts.length).toBeLessThanOrEqual(Math.ceil(share));
			expect(running.length).toBeLessThanOrEqual(Math.min(target.slots, share + 2 * Math.sqrt(share) + 1));
		}
	}
}

const operation = fc.oneof(
	{ weight: 4, arbitrary: fc.record({ kind: fc.constant('submit' as const), pick: fc.nat(23) }) },
	{ weight: 3, arbitrary: fc.record({ kind: fc.constant('end' as const), pick: fc.nat(99) }) },
	{ weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat(99) }) },
	{ weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), pick: fc.nat(700) }) },
);

const ends = Object.values(AttemptEnd);

function applyOperation(
	model: SchedulerModel,
	{ kind, pick }: { kind: string; pick: number },
	index: number,
): void {
	if (kind === 'submit') {
		model.submit(
			createRequest(`r${index}`, {
				organisation: `o${pick % 3}` as OrganisationName,
				requestClass: requestClasses[pick % 3] ?? RequestClass.Urgent,
				arrivedMs: model.nowMs,
				deadlineMs: model.nowMs + 3_000 + pick * 500,
				isRepeatable: pick % 4 !== 0,
				prefixKey: pick % 5 === 0 ? `p${pick}` : undefined,
			}),
		);
	} else if (kind === 'end') {
		const id = [...model.running.keys()][pick % Math.max(1, model.running.size)];
		if (id !== undefined) {
			model.end(id, ends[pick % ends.length] ?? AttemptEnd.Answered);
		}
	} else if (kind === 'cancel') {
		const id = [...model.waiting.keys()][pick % Math.max(1, model.waiting.size)];
		if (id !== undefined) {
			model.waiting.delete(id);
			model.scheduler.cancel(id);
			model.advance();
		}
	} else {
		model.nowMs += pick;
		model.advance();
	}
}

function endAll(model: SchedulerModel): void {
	for (let step = 0; step < 10_000 && model.running.size + model.waiting.size > 0; step++) {
		for (const id of [...model.running.keys()]) {
			model.end(id, AttemptEnd.Answered);
		}
		model.nowMs += 100;
		model.advance();
	}
}

describe('ServiceScheduler with random operations', () => {
	it('decides each request once and keeps the limits and the order within an organisation and class', () => {
		fc.assert(
			fc.property(fc.array(operation, { maxLength: 120 }), operations => {
				const model = new SchedulerModel([
					createTarget('t1', { slots: 2 }),
					createTarget('t2', { slots: 5, share: 0.5 }),
					createTarget('t3', { slots: 1, isSameZone: false }),
				]);
				operations.forEach((item, index) => {
					applyOperation(model, item, index);
				});
				endAll(model);
				expect([...model.waiting.keys(), ...model.running.keys()]).toEqual([]);
				expect(model.scheduler.getNextDueMs()).toBeUndefined();
				const lastByKey = new Map<string, number>();
				for (const request of model.firstStarts) {
					const key = `${request.organisation} ${request.requestClass}`;
					const number = Number(request.id.slice(1));
					expect(number).toBeGreaterThan(lastByKey.get(key) ?? -1);
					lastByKey.set(key, number);
				}
			}),
			{ seed: 20_261, numRuns: 300 },
		);
	});
});
