import type { Ledgers } from '../common/invariants';
import { checkLedgers, Invariant } from '../common/invariants';
import { gaveUp, Phase, Told } from '../common/sendRecord';
import { createPaymentSend, createRun, createSend } from './proveFixtures';

function listBroken(ledgers: Ledgers): Invariant[] {
	return [...new Set(checkLedgers(ledgers).map(({ invariant }) => invariant))];
}

describe('ledgers of a campaign', () => {
	test('hold where every call was answered once and at home', () => {
		const sends = [createPaymentSend(), createPaymentSend({ entry: 'entry-kingston-2' })];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([]);
	});

	test('show a call that ran though its caller was told not-run', () => {
		// An entry refuses a call that a target has begun. The caller sends it anew in good faith, and its
		// effect is there twice.
		const sends = [createSend({ told: Told.NotRun })];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([Invariant.NotRunMeansNoRun]);
		expect(listBroken({ sends, runs: [] })).toEqual([]);
	});

	test('show a resent payment that one of two sends said was not run', () => {
		// One send of a ticket is answered and another is refused as not run. The payer takes a new ticket
		// and pays twice.
		const sends = [
			createPaymentSend({ phase: Phase.Faults }),
			createPaymentSend({ told: Told.NotRun, phase: Phase.Faults }),
		];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([Invariant.NotRunMeansNoRun]);
	});

	test('show a payment that ran twice, also at two services', () => {
		// A resend reaches an entry that does not know of the first run. The household is charged twice.
		const sends = [createPaymentSend({ phase: Phase.Faults, told: Told.Unknown })];
		expect(listBroken({ sends, runs: [createRun({ runs: 2 })] })).toEqual([Invariant.PaymentsRunOnce]);
		const twoServices = [createRun(), createRun({ target: 'bookings-kingston-2' })];
		expect(listBroken({ sends, runs: twoServices })).toEqual([Invariant.PaymentsRunOnce]);
	});

	test('show a payment that did not run though nothing went wrong', () => {
		// A ticket is refused without cause. The payer is told nothing certain on a quiet day.
		const sends = [createPaymentSend({ told: Told.Unknown })];
		expect(listBroken({ sends, runs: [] })).toEqual([Invariant.FaultlessPayments]);
		expect(listBroken({ sends: [createPaymentSend()], runs: [] })).toEqual([Invariant.FaultlessPayments]);
		const underFaults = [createPaymentSend({ told: Told.Unknown, phase: Phase.Faults })];
		expect(listBroken({ sends: underFaults, runs: [] })).toEqual([]);
	});

	test('show a resend that got another answer than the first send', () => {
		// The kept answer is lost or mixed up with another one. The payer sees two receipts for one payment.
		const sends = [createPaymentSend(), createPaymentSend({ text: 'another answer' })];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([Invariant.FaultlessPayments]);
	});

	test('show an answer that ended cleanly and was not the right one', () => {
		// An answer that broke off is ended as if it were whole, or is another call's. The caller takes a
		// piece for the whole.
		expect(listBroken({ sends: [createSend({ isExpected: false })], runs: [] })).toEqual([
			Invariant.WholeAnswers,
		]);
		expect(listBroken({ sends: [createSend({ told: Told.Untold })], runs: [] })).toEqual([
			Invariant.WholeAnswers,
		]);
		const cut = createSend({ told: Told.Cut, isExpected: false, phase: Phase.Faults });
		expect(listBroken({ sends: [cut], runs: [] })).toEqual([]);
	});

	test('show a caller that was never told anything', () => {
		// An entry forgets a request whose target fell silent. The crew at the gate waits on after its deadline
		// and does not know what became of the request.
		const waiting = createSend({ told: Told.Nothing, fault: gaveUp, phase: Phase.Faults });
		expect(listBroken({ sends: [waiting], runs: [] })).toEqual([Invariant.NobodyWaitsInVain]);
		const refused = createSend({ told: Told.Nothing, fault: 'connect ECONNREFUSED', phase: Phase.Faults });
		expect(listBroken({ sends: [refused], runs: [] })).toEqual([]);
	});

	test('show a bound call that ran in another region', () => {
		// An entry in the wrong region serves instead of naming others. Data has left its region, and nobody
		// notices.
		const runs = [createRun({ target: 'bookings-ocho-1', region: 'ocho' })];
		expect(listBroken({ sends: [createSend()], runs })).toEqual([Invariant.BoundStaysHome]);
		expect(listBroken({ sends: [createSend({ home: undefined })], runs })).toEqual([]);
	});

	test('show a stream that a planned stop cut off', () => {
		// An entry exits while a stream still runs. The reader's draft breaks off though nothing failed.
		const cut = createSend({ told: Told.Cut, phase: Phase.Replacement });
		const unknown = createSend({ told: Told.Unknown, phase: Phase.Replacement });
		expect(listBroken({ sends: [cut], runs: [] })).toEqual([Invariant.GracefulStop]);
		expect(listBroken({ sends: [unknown], runs: [] })).toEqual([Invariant.GracefulStop]);
		const ticketed = createPaymentSend({ told: Told.Unknown, phase: Phase.Replacement });
		expect(listBroken({ sends: [ticketed], runs: [] })).toEqual([]);
	});
});
