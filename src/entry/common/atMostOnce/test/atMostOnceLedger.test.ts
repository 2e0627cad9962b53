import type { RequestError } from '../../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type {
	BootId,
	Fingerprint,
	InstanceId,
	OrganisationName,
	ServiceName,
} from '../../../../core/ids/common/ids';
import type { Ticket } from '../../tickets/ticket';
import type { ReceiveDecision } from '../atMostOnceLedger';
import { AtMostOnceLedger, ReceiveKind } from '../atMostOnceLedger';
import { encodeCallIdentity } from '../callFingerprint';
import type { RunResult, TicketRun } from '../ticketRun';
import { RunResultKind } from '../ticketRun';

const own = { instance: 'entry-1' as InstanceId, boot: 'b1' as BootId };
const fingerprint = 'f1' as Fingerprint;
const overloaded = createRequestError(ErrorKind.Overloaded, 'full', { retryAfterMs: 500 });

function createLedger(maxAnswerBytes = 10_000, maxTickets = 100): AtMostOnceLedger {
	return new AtMostOnceLedger(own, { maxAnswerBytes, maxTickets });
}

function createTicket(number: number, expiresMs = 1_000): Ticket {
	return { issuer: own, number, expiresMs };
}

function createAnswer(bytes: number): RunResult {
	const answer = { status: 200, headers: [], body: new Uint8Array(bytes), endsWithConnection: false };
	return { kind: RunResultKind.Answered, answer };
}

/** Presents a ticket for the first time and returns its run. */
function startRun(ledger: AtMostOnceLedger, number: number): TicketRun {
	const decision = ledger.receive(createTicket(number), fingerprint, 0);
	if (decision.kind !== ReceiveKind.Run) {
		throw new Error(`ticket ${number} was already spent`);
	}
	return decision.run;
}

function getRefusal(decision: ReceiveDecision): RequestError | undefined {
	return decision.kind === ReceiveKind.Refuse ? decision.error : undefined;
}

describe('AtMostOnceLedger', () => {
	it('lets a resend join the run and later replays the answer', () => {
		const ledger = createLedger();
		const run = startRun(ledger, 1);
		expect(ledger.receive(createTicket(1), fingerprint, 1)).toEqual({ kind: ReceiveKind.Join, run });
		const ends: RunResult[] = [];
		run.waitForEnd(end => ends.push(end));
		run.waitForEnd(end => ends.push(end)).dispose();
		expect(run.countWaiters()).toBe(1);
		run.end(createAnswer(1));
		run.end({ kind: RunResultKind.Failed, error: overloaded });
		expect(ends).toEqual([createAnswer(1)]);
		expect(ledger.receive(createTicket(1), fingerprint, 2).kind).toBe(ReceiveKind.Replay);
	});

	it('repeats the same not-run refusal until the expiry, then refuses with unknown', () => {
		const ledger = createLedger();
		startRun(ledger, 1).end({ kind: RunResultKind.Failed, error: overloaded });
		expect(getRefusal(ledger.receive(createTicket(1), fingerprint, 999))).toEqual(overloaded);
		const late = getRefusal(ledger.receive(createTicket(1), fingerprint, 1_000))!;
		expect([late.kind, getOutcomeOf(late)]).toEqual([ErrorKind.TicketExpired, Outcome.Unknown]);
	});

	it('keeps nothing of a ticket after its expiry, not even an answer that arrives later', () => {
		const ledger = createLedger();
		startRun(ledger, 1).end(createAnswer(1));
		const late = startRun(ledger, 2);
		ledger.receive(createTicket(3, 9_000), fingerprint, 1_000);
		late.end(createAnswer(1));
		expect([ledger.countSpent(), ledger.countAnswerBytes()]).toEqual([1, 0]);
	});

	it('refuses a different call with a spent ticket, and tickets of another boot', () => {
		const ledger = createLedger();
		startRun(ledger, 1);
		const reused = ledger.receive(createTicket(1), 'f2' as Fingerprint, 0);
		expect(getRefusal(reused)?.kind).toBe(ErrorKind.TicketReused);
		const issuer = { ...own, boot: 'b2' as BootId };
		const foreign = ledger.receive({ ...createTicket(2), issuer }, fingerprint, 0);
		expect(getRefusal(foreign)?.kind).toBe(ErrorKind.TicketIssuerGone);
	});

	it('evicts the oldest answers for newer ones and refuses their resends', () => {
		const ledger = createLedger(2_000);
		[400, 400, 400, 2_001].forEach((bytes, index) => {
			startRun(ledger, index + 1).end(createAnswer(bytes));
		});
		const kinds = [1, 2, 3, 4].map(number => {
			const decision = ledger.receive(createTicket(number), fingerprint, 0);
			return getRefusal(decision)?.kind ?? decision.kind;
		});
		const { TicketAnswerGone } = ErrorKind;
		expect(kinds).toEqual([TicketAnswerGone, ReceiveKind.Replay, ReceiveKind.Replay, TicketAnswerGone]);
		expect(ledger.countAnswerBytes()).toBeLessThanOrEqual(2_000);
	});

	// More tickets are presented within their lifetime than the entry may record. It cannot record another
	// number, so it must neither run the call nor report that no copy of it will ever run.
	it('refuses with unknown and a retry time while the ledger is full', () => {
		const ledger = createLedger(10_000, 1);
		startRun(ledger, 1);
		const error = getRefusal(ledger.receive(createTicket(2), fingerprint, 400))!;
		expect([getOutcomeOf(error), error.retryAfterMs]).toEqual([Outcome.Unknown, 600]);
		expect(ledger.receive(createTicket(3, 5_000), fingerprint, 1_000).kind).toBe(ReceiveKind.Run);
	});

	// A call is refused before its body is read, while a copy of it is still in flight through another entry.
	// The caller is told not-run, so the ticket must be spent when the copy arrives.
	it('spends the ticket of a call whose body was not read', () => {
		const ledger = createLedger();
		expect(ledger.refuseUnreadCall(createTicket(1), overloaded, 0)).toEqual(overloaded);
		expect(getRefusal(ledger.receive(createTicket(1), fingerprint, 1))).toEqual(overloaded);
		startRun(ledger, 2);
		expect(getOutcomeOf(ledger.refuseUnreadCall(createTicket(2), overloaded, 1))).toBe(Outcome.Unknown);
	});

	// Two calls differ only in where one part ends. With the same fingerprint for both, the second caller
	// would get the first caller's answer.
	it('distinguishes calls whose concatenated parts are equal', () => {
		const [service, organisation] = ['s', 'o'] as [ServiceName, OrganisationName];
		const call = { service, organisation, method: 'POST', path: '/a' };
		const other = { ...call, organisation: 'oP' as OrganisationName, method: 'OST' };
		expect(encodeCallIdentity(call)).not.toBe(encodeCallIdentity(other));
	});
});
