import fc from 'fast-check';
import type { RequestError } from '../../../../platform/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../platform/errors/common/errorKinds';
import { Outcome } from '../../../../platform/errors/common/outcome';
import type { BootId, Fingerprint, InstanceId } from '../../../../platform/ids/common/ids';
import type { InstanceBoot, Ticket } from '../../tickets/ticket';
import { TicketRouteKind } from '../../tickets/ticketRoute';
import type { IAtMostOnceLedger, ReceiveDecision } from '../atMostOnceLedger';
import { AtMostOnceLedger, ReceiveKind } from '../atMostOnceLedger';
import type { RunEnd } from '../ticketRun';
import { RunEndKind, TicketRun } from '../ticketRun';
import type { Rules, Step } from './ticketWorld';
import { entryCount, Fate, soundRules, TicketWorld } from './ticketWorld';

const ticketCount = 6;
const entry = fc.nat(entryCount - 1);
const ticket = fc.nat(ticketCount - 1);
const send = fc.record({ do: fc.constant('send' as const), ticket, entry, body: fc.nat(1) });
const fate = fc.constantFrom(
	Fate.Answered,
	Fate.RefusedByTarget,
	Fate.NotConnected,
	Fate.RunThenLost,
	Fate.LostThenRunLate,
);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	{ weight: 5, arbitrary: send },
	{ weight: 4, arbitrary: fc.record({ do: fc.constant('end' as const), entry, fate }) },
	fc.record({ do: fc.constantFrom('refuseUnread' as const, 'forge' as const), ticket, entry }),
	fc.record({ do: fc.constantFrom('restart' as const, 'freeze' as const, 'thaw' as const), entry }),
	fc.record({ do: fc.constant('wait' as const), ms: fc.constantFrom(1, 400, 1_000) }),
);

function findFaults(rules: Rules, steps: readonly Step[]): string[] {
	const world = new TicketWorld(rules);
	steps.forEach(step => {
		world.take(step);
	});
	world.finish();
	return world.faults;
}

function checkRules(rules: Rules): void {
	fc.assert(
		fc.property(fc.array(anyStep, { maxLength: 40 }), steps => findFaults(rules, steps).length === 0),
		{ seed: 4, numRuns: 2_000 },
	);
}

const own: InstanceBoot = { instance: 'entry-1' as InstanceId, boot: 'b1' as BootId };
const otherBoot: InstanceBoot = { ...own, boot: 'b2' as BootId };
const fingerprint = 'f1' as Fingerprint;

function createLedger(mostAnswerBytes = 10_000, mostTickets = 100): AtMostOnceLedger {
	return new AtMostOnceLedger(own, { mostAnswerBytes, mostTickets });
}

function createTicket(number: number, expiresMs = 1_000): Ticket {
	return { issuer: own, number, expiresMs };
}

/** A ledger with one decision replaced. */
function createBrokenLedger(
	boot: InstanceBoot,
	receive: (sound: AtMostOnceLedger, ...call: Parameters<IAtMostOnceLedger['receive']>) => ReceiveDecision,
): IAtMostOnceLedger {
	const sound = new AtMostOnceLedger(boot, { mostAnswerBytes: 2_000, mostTickets: 20 });
	return {
		receive: (...call) => receive(sound, ...call),
		refuseUnread: (...call) => sound.refuseUnread(...call),
	};
}

const brokenRules: Readonly<Record<string, Rules>> = {
	'keyed by the number without the boot': {
		...soundRules,
		decideRoute: (given, at, ...rest) =>
			given.issuer.instance === at.own.instance
				? { kind: TicketRouteKind.Own }
				: soundRules.decideRoute(given, at, ...rest),
		createLedger: boot =>
			createBrokenLedger(boot, (sound, given, ...rest) => sound.receive({ ...given, issuer: boot }, ...rest)),
	},
	'spent only when the run ends': {
		...soundRules,
		createLedger: boot => {
			const ended = new Set<number>();
			return createBrokenLedger(boot, (sound, given, ...rest) =>
				ended.has(given.number)
					? sound.receive(given, ...rest)
					: { kind: ReceiveKind.Run, run: new TicketRun(() => ended.add(given.number)) },
			);
		},
	},
	'not spent by a run that ended not-run': {
		...soundRules,
		createLedger: boot =>
			createBrokenLedger(boot, (sound, ...call) => {
				const decision = sound.receive(...call);
				const isNotRun =
					decision.kind === ReceiveKind.Refuse && getOutcomeOf(decision.error) === Outcome.NotRun;
				return isNotRun ? { kind: ReceiveKind.Run, run: new TicketRun(() => undefined) } : decision;
			}),
	},
	'forgotten at expiry and not refused after it': {
		...soundRules,
		createLedger: boot =>
			createBrokenLedger(boot, (sound, given, mark, nowMs) => {
				const decision = sound.receive(given, mark, nowMs);
				const isExpired =
					decision.kind === ReceiveKind.Refuse && decision.error.kind === ErrorKind.TicketExpired;
				return isExpired ? { kind: ReceiveKind.Run, run: new TicketRun(() => undefined) } : decision;
			}),
	},
	'run by another entry': {
		...soundRules,
		decideRoute: () => ({ kind: TicketRouteKind.Own }),
		createLedger: boot =>
			createBrokenLedger(boot, (sound, given, ...rest) => sound.receive({ ...given, issuer: boot }, ...rest)),
	},
	'refused as not-run by another entry': { ...soundRules, refuseAsOther: error => error },
	'bound to no body': {
		...soundRules,
		createLedger: boot =>
			createBrokenLedger(boot, (sound, given, _mark, nowMs) => sound.receive(given, fingerprint, nowMs)),
	},
};

describe('tickets among entries', () => {
	// Callers resend to any entry, copies arrive late and twice, entries restart, freeze and wake, targets
	// fail. A customer would notice a second run as a second charge on the account, and a wrong `not-run` as
	// a payment made twice by two ways.
	it('run at most once, and never after a caller was told not-run', () => {
		checkRules(soundRules);
	});

	// The property is worth something only if it notices a fault. Each of these rules is one that somebody
	// could take for good enough; under it a household is charged twice or gets another call's answer.
	it.each(Object.keys(brokenRules))('are found wrong when %s', name => {
		expect(() => {
			checkRules(brokenRules[name]!);
		}).toThrow('Property failed');
	});

	it('run exactly once without faults, and every resend gets the answer', () => {
		const sends = fc.array(fc.record({ ...{ ticket, entry }, isEndedNext: fc.boolean() }), { maxLength: 20 });
		fc.assert(
			fc.property(sends, all => {
				const world = new TicketWorld(soundRules);
				for (const { isEndedNext, ...one } of all) {
					world.take({ do: 'send', ...one, body: 0 });
					if (isEndedNext) {
						world.take({ do: 'end', entry: one.ticket >> 1, fate: Fate.Answered });
					}
				}
				world.finish();
				expect(world.faults).toEqual([]);
				expect([...world.runs.values()].filter(count => count !== 1)).toEqual([]);
				expect(world.runs.size).toBe(new Set(all.map(one => one.ticket)).size);
				for (const told of world.told.values()) {
					expect([...told]).toEqual([Outcome.Answered]);
				}
			}),
			{ seed: 4 },
		);
	});
});

function createAnswer(bytes: number): RunEnd {
	const answer = { status: 200, headers: [], body: new Uint8Array(bytes) };
	return { kind: RunEndKind.Answered, answer };
}

/** Presents a ticket for the first time and gives its run. */
function startRun(ledger: AtMostOnceLedger, number: number): TicketRun {
	const decision = ledger.receive(createTicket(number), fingerprint, 0);
	if (decision.kind !== ReceiveKind.Run) {
		throw new Error(`ticket ${number} was not fresh`);
	}
	return decision.run;
}

function getRefusal(decision: ReceiveDecision): RequestError {
	return (decision as Extract<ReceiveDecision, { kind: ReceiveKind.Refuse }>).error;
}

describe('AtMostOnceLedger', () => {
	const overloaded = createRequestError(ErrorKind.Overloaded, 'full', { retryAfterMs: 500 });

	it('lets a resend join the run and later replays the answer', () => {
		const ledger = createLedger();
		const run = startRun(ledger, 1);
		expect(ledger.receive(createTicket(1), fingerprint, 1)).toEqual({ kind: ReceiveKind.Join, run });
		const ends: RunEnd[] = [];
		run.waitForEnd(end => ends.push(end));
		run.waitForEnd(end => ends.push(end)).dispose();
		expect(run.countWaiting()).toBe(1);
		run.end(createAnswer(1));
		run.end({ kind: RunEndKind.Failed, error: overloaded });
		expect(ends).toEqual([createAnswer(1)]);
		expect(ledger.receive(createTicket(1), fingerprint, 2).kind).toBe(ReceiveKind.Replay);
	});

	it('says the same not-run until the expiry, and unknown from then on', () => {
		const ledger = createLedger();
		startRun(ledger, 1).end({ kind: RunEndKind.Failed, error: overloaded });
		expect(getRefusal(ledger.receive(createTicket(1), fingerprint, 999))).toEqual(overloaded);
		const late = getRefusal(ledger.receive(createTicket(1), fingerprint, 1_000));
		expect([late.kind, getOutcomeOf(late)]).toEqual([ErrorKind.TicketExpired, Outcome.Unknown]);
		expect(ledger.countSpent()).toBe(0);
	});

	it('refuses another call with a spent ticket, and tickets of another boot', () => {
		const ledger = createLedger();
		startRun(ledger, 1);
		const reused = ledger.receive(createTicket(1), 'f2' as Fingerprint, 0);
		expect(getRefusal(reused).kind).toBe(ErrorKind.TicketReused);
		const foreign = ledger.receive({ ...createTicket(2), issuer: otherBoot }, fingerprint, 0);
		expect(getRefusal(foreign).kind).toBe(ErrorKind.TicketIssuerGone);
	});

	it('gives up the oldest answers for newer ones and says so', () => {
		const ledger = createLedger(2_000);
		[1, 2, 3].forEach(number => {
			startRun(ledger, number).end(createAnswer(400));
		});
		expect(getRefusal(ledger.receive(createTicket(1), fingerprint, 0)).kind).toBe(ErrorKind.TicketAnswerGone);
		expect(ledger.receive(createTicket(3), fingerprint, 0).kind).toBe(ReceiveKind.Replay);
		expect(ledger.countAnswerBytes()).toBeLessThanOrEqual(2_000);
		startRun(ledger, 4).end(createAnswer(2_001));
		expect(getRefusal(ledger.receive(createTicket(4), fingerprint, 0)).kind).toBe(ErrorKind.TicketAnswerGone);
	});

	// More tickets are presented within their lifetime than the entry may remember. It cannot note another
	// number, so it must neither run the call nor say that no copy of it ever will.
	it('says unknown, and when to come back, while its memory is full', () => {
		const ledger = createLedger(10_000, 1);
		startRun(ledger, 1);
		const error = getRefusal(ledger.receive(createTicket(2), fingerprint, 400));
		expect([error.kind, getOutcomeOf(error), error.retryAfterMs]).toEqual([
			ErrorKind.EntryFull,
			Outcome.Unknown,
			600,
		]);
		expect(ledger.receive(createTicket(3, 5_000), fingerprint, 1_000).kind).toBe(ReceiveKind.Run);
	});

	// A call is refused before its body is read, while a copy of it is still on its way through another
	// entry. The caller is told not-run, so the copy has to find the ticket spent.
	it('spends a ticket whose body it did not read', () => {
		const ledger = createLedger();
		expect(ledger.refuseUnread(createTicket(1), overloaded, 0)).toEqual(overloaded);
		expect(getRefusal(ledger.receive(createTicket(1), fingerprint, 1))).toEqual(overloaded);
		startRun(ledger, 2);
		expect(getOutcomeOf(ledger.refuseUnread(createTicket(2), overloaded, 1))).toBe(Outcome.Unknown);
	});
});
