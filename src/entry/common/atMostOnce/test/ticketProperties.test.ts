import fc from 'fast-check';
import { ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { Fingerprint } from '../../../../core/ids/common/ids';
import type { InstanceBoot } from '../../tickets/ticket';
import { TicketRouteKind } from '../../tickets/ticketRoute';
import type { IAtMostOnceLedger, ReceiveDecision } from '../atMostOnceLedger';
import { ReceiveKind } from '../atMostOnceLedger';
import { TicketRun } from '../ticketRun';
import type { Action, DecisionRules, Step } from './ticketModel';
import { entryCount, failures, correctRules, ticketsPerEntry, TicketModel } from './ticketModel';

function createSteps(...actions: Action[]): fc.Arbitrary<Step[]> {
	const step = fc.record({
		action: fc.constantFrom(...actions),
		entry: fc.nat(entryCount - 1),
		ticket: fc.nat(entryCount * ticketsPerEntry - 1),
		body: fc.nat(1),
		failure: fc.nat(failures.length - 1),
		waitMs: fc.constantFrom(1, 400, 1_000),
	});
	return fc.array(step, { maxLength: 40 });
}

const sends: Action[] = ['send', 'send', 'send', 'send', 'sendUnread', 'forge'];
const anySteps = createSteps(...sends, 'answer', 'fail', 'fail', 'restart', 'freeze', 'wake', 'wait');

function runModel(rules: DecisionRules, steps: readonly Step[]): TicketModel {
	const model = new TicketModel(rules);
	steps.forEach(step => {
		model.applyStep(step);
	});
	model.finish();
	return model;
}

/**
 * The first violation that the property test finds with these rules, or undefined where the property holds.
 */
function findViolation(rules: DecisionRules): string | undefined {
	const property = fc.property(anySteps, steps => {
		const [fault] = runModel(rules, steps).faults;
		if (fault !== undefined) {
			throw new Error(fault);
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 4, numRuns: 2_000 });
	return failed ? String(errorInstance) : undefined;
}

type Receive = IAtMostOnceLedger['receive'];

/** The correct rules with the ledger's decision replaced. */
function createRulesWith(replace: (correct: Receive, boot: InstanceBoot) => Receive): DecisionRules {
	return {
		...correctRules,
		createLedger: boot => {
			const correct = correctRules.createLedger(boot);
			const receive = replace((...call) => correct.receive(...call), boot);
			return { receive, refuseUnreadCall: (...call) => correct.refuseUnreadCall(...call) };
		},
	};
}

/** Rules that run a call where the correct ledger refuses it for this reason. */
function createRulesThatRun(isRun: (kind: ErrorKind, outcome: Outcome) => boolean): DecisionRules {
	return createRulesWith(correct => (...call): ReceiveDecision => {
		const decision = correct(...call);
		return decision.kind === ReceiveKind.Refuse && isRun(decision.error.kind, getOutcomeOf(decision.error))
			? { kind: ReceiveKind.Run, run: new TicketRun(() => undefined) }
			: decision;
	});
}

const withoutBoot = createRulesWith(
	(correct, boot) =>
		(ticket, ...rest) =>
			correct({ ...ticket, issuer: boot }, ...rest),
);
const spentAtEnd = createRulesWith(correct => {
	const ended = new Set<number>();
	return (ticket, ...rest) =>
		ended.has(ticket.number)
			? correct(ticket, ...rest)
			: { kind: ReceiveKind.Run, run: new TicketRun(() => ended.add(ticket.number)) };
});

const brokenRules: readonly [string, DecisionRules][] = [
	[
		'keyed by the number without the boot',
		{
			...withoutBoot,
			decideRoute: (ticket, own, ...rest) =>
				ticket.issuer.instance === own.own.instance
					? { kind: TicketRouteKind.Own }
					: correctRules.decideRoute(ticket, own, ...rest),
		},
	],
	['spent only when the run ends', spentAtEnd],
	['not spent by a run that ended not-run', createRulesThatRun((_, outcome) => outcome === Outcome.NotRun)],
	['run after the expiry', createRulesThatRun(kind => kind === ErrorKind.TicketExpired)],
	['run by another entry', { ...withoutBoot, decideRoute: () => ({ kind: TicketRouteKind.Own }) }],
	['refused as not-run by another entry', { ...correctRules, withUnknownOutcome: error => error }],
	[
		'bound to no body',
		createRulesWith(correct => (ticket, _, nowMs) => correct(ticket, 'any' as Fingerprint, nowMs)),
	],
];

describe('tickets among entries', () => {
	// Callers resend to any entry, copies are delayed and duplicated, entries restart, are suspended and
	// resume, and targets fail. A second run would charge a customer twice. After a wrong `not-run`, the
	// customer would make the same payment again by other means.
	it('run at most once, and never after a caller was told not-run', () => {
		expect(findViolation(correctRules)).toBeUndefined();
	});

	// The property test is useful only if it detects faults. Each of these rules looks plausible, but with it a
	// customer is charged twice or gets the answer to another call.
	it.each(brokenRules)('violate the property when %s', (_, rules) => {
		expect(findViolation(rules)).toMatch(/ ran \d times| was answered /);
	});

	it('run exactly once without faults, and every resend gets the answer', () => {
		fc.assert(
			fc.property(createSteps('send', 'send', 'answer'), steps => {
				const model = runModel(
					correctRules,
					steps.map(step => ({ ...step, body: 0 })),
				);
				const sent = steps.filter(step => step.action === 'send').map(step => step.ticket);
				expect(model.faults).toEqual([]);
				expect([...model.runs.values()]).toEqual([...new Set(sent)].map(() => 1));
				expect([...model.told.values()].map(told => [...told])).toEqual(
					[...model.runs].map(() => [Outcome.Answered]),
				);
			}),
			{ seed: 4 },
		);
	});
});
