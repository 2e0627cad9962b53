import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { OrganisationName } from '../../../../core/ids/common/ids';
import type { OrganisationLimit } from '../../../../core/manifest/common/organisations';
import { LimitUnit } from '../../../../core/manifest/common/organisations';
import { getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import type { CallHead } from '../../../common/callers/callHead';
import type { IOrganisationLimiter, LimitCharge } from '../../../common/limits/organisationLimiter';
import type { CallPlan } from '../../../common/placement/callPlan';
import { LimitGate } from '../limitGate';

const name = 'acme' as OrganisationName;
const limit: OrganisationLimit = { unit: LimitUnit.Tokens, perSecond: 100, burst: 0, plainTokens: 7 };

/** A limiter that admits while it is told to, and keeps what it was asked. */
function createLimiter(): IOrganisationLimiter & {
	isOpen: boolean;
	costs: number[];
	released: LimitCharge[];
} {
	return {
		isOpen: true,
		costs: [],
		released: [],
		admit(organisation, computeCost) {
			const cost = computeCost(limit);
			this.costs.push(cost);
			const verdict = { isAdmitted: this.isOpen, probability: 0.5, retryAfterMs: 4_000, isJump: false };
			return { charge: { organisation, cost }, verdict };
		},
		releaseUnits(charge) {
			this.released.push(charge);
		},
	};
}

function createPlan(isLimited = true): CallPlan {
	return { organisation: { name, ...(isLimited ? { limit } : {}) } } as CallPlan;
}

function createHead(tokens?: readonly [number, number]): CallHead {
	const prompt = tokens && { parts: [], promptTokens: tokens[0], maxOutputTokens: tokens[1] };
	return { routed: { prompt } } as unknown as CallHead;
}

describe('LimitGate', () => {
	it('counts prompt and output tokens, or what the limit says of a request without them', () => {
		const limiter = createLimiter();
		const gate = new LimitGate(limiter, { noteLimit: () => undefined });
		gate.admit(createHead([30, 12]), createPlan());
		gate.admit(createHead(), createPlan());
		expect(limiter.costs).toEqual([42, 7]);
	});

	// Guards against work for each request where no limit is configured.
	it('does not ask the limiter for an organisation without a limit', () => {
		const limiter = createLimiter();
		const gate = new LimitGate(limiter, { noteLimit: () => undefined });
		expect(gate.admit(createHead([30, 12]), createPlan(false)).isOk()).toBe(true);
		expect(limiter.costs).toEqual([]);
	});

	it('refuses beyond the limit as not run, with the time to come back', () => {
		const limiter = createLimiter();
		limiter.isOpen = false;
		const gate = new LimitGate(limiter, { noteLimit: () => undefined });
		const error = gate.admit(createHead([30, 12]), createPlan())._unsafeUnwrapErr();
		expect(error).toMatchObject({ kind: ErrorKind.LimitReached, retryAfterMs: 4_000 });
		expect(getOutcomeOf(error)).toBe(Outcome.NotRun);
	});

	// Guards against organisations that pay for requests which other limits refused.
	it('credits an admitted request that was not run, once', () => {
		const limiter = createLimiter();
		const gate = new LimitGate(limiter, { noteLimit: () => undefined });
		const head = createHead([30, 12]);
		gate.admit(head, createPlan());
		gate.noteNotRun(head);
		gate.noteNotRun(head);
		gate.noteNotRun(createHead([1, 1]));
		expect(limiter.released).toEqual([{ organisation: name, cost: 42 }]);
	});
});
