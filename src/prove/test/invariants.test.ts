import type { CampaignRecords } from '../common/invariants';
import { checkRecords, Invariant } from '../common/invariants';
import { callerGaveUpFault, Phase, SendOutcome } from '../common/sendRecord';
import { createPaymentSend, createRun, createSend } from './proveFixtures';

function listBroken(records: CampaignRecords): Invariant[] {
	return [...new Set(checkRecords(records).map(({ invariant }) => invariant))];
}

describe('checkRecords', () => {
	test('accepts calls that were answered, ran once and ran in their home region', () => {
		const sends = [createPaymentSend(), createPaymentSend({ entry: 'entry-kingston-2' })];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([]);
	});

	test('reports a call that ran although its outcome was not-run', () => {
		// An entry refuses a call as not run although a target has started it. The caller sends the call again,
		// and it takes effect twice.
		const sends = [createSend({ told: SendOutcome.NotRun })];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([Invariant.NotRunNeverRan]);
		expect(listBroken({ sends, runs: [] })).toEqual([]);
	});

	test('reports a payment that ran although one of its two sends was refused as not run', () => {
		// One send with a ticket is answered and another is refused as not run. The caller gets a new ticket
		// and pays twice.
		const sends = [
			createPaymentSend({ phase: Phase.Faults }),
			createPaymentSend({ told: SendOutcome.NotRun, phase: Phase.Faults }),
		];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([Invariant.NotRunNeverRan]);
	});

	test('reports a payment that ran twice, also at two targets', () => {
		// A resend reaches an entry that has no record of the first run, and the payment is charged twice.
		const sends = [createPaymentSend({ phase: Phase.Faults, told: SendOutcome.Unknown })];
		expect(listBroken({ sends, runs: [createRun({ runs: 2 })] })).toEqual([Invariant.PaymentsRunOnce]);
		const twoServices = [createRun(), createRun({ target: 'bookings-kingston-2' })];
		expect(listBroken({ sends, runs: twoServices })).toEqual([Invariant.PaymentsRunOnce]);
	});

	test('reports a payment that did not run although no fault was injected', () => {
		// A valid ticket is rejected. The caller gets an unknown outcome although no fault was injected.
		const sends = [createPaymentSend({ told: SendOutcome.Unknown })];
		expect(listBroken({ sends, runs: [] })).toEqual([Invariant.PaymentsWithoutFaults]);
		expect(listBroken({ sends: [createPaymentSend()], runs: [] })).toEqual([Invariant.PaymentsWithoutFaults]);
		const underFaults = [createPaymentSend({ told: SendOutcome.Unknown, phase: Phase.Faults })];
		expect(listBroken({ sends: underFaults, runs: [] })).toEqual([]);
	});

	test('reports a resend that got another answer than the first send', () => {
		// The stored answer is lost or confused with another one. The caller gets two receipts for one payment.
		const sends = [createPaymentSend(), createPaymentSend({ text: 'another answer' })];
		expect(listBroken({ sends, runs: [createRun()] })).toEqual([Invariant.PaymentsWithoutFaults]);
	});

	test('reports an answer that ended cleanly and has the wrong content or no outcome', () => {
		// An incomplete answer is ended as if it were complete, or the answer belongs to another call. The
		// caller takes it for the complete answer to its call.
		expect(listBroken({ sends: [createSend({ isExpected: false })], runs: [] })).toEqual([
			Invariant.CompleteAnswersCorrect,
		]);
		expect(listBroken({ sends: [createSend({ told: SendOutcome.MissingOutcome })], runs: [] })).toEqual([
			Invariant.CompleteAnswersCorrect,
		]);
		const incomplete = createSend({
			told: SendOutcome.Incomplete,
			isExpected: false,
			phase: Phase.Faults,
		});
		expect(listBroken({ sends: [incomplete], runs: [] })).toEqual([]);
	});

	test('reports a caller that never got an answer or an error', () => {
		// An entry loses track of a request whose target stopped responding. The caller keeps waiting after its
		// deadline and never gets an outcome.
		const waiting = createSend({
			told: SendOutcome.NoResponse,
			fault: callerGaveUpFault,
			phase: Phase.Faults,
		});
		expect(listBroken({ sends: [waiting], runs: [] })).toEqual([Invariant.NoUnansweredCaller]);
		const refused = createSend({
			told: SendOutcome.NoResponse,
			fault: 'connect ECONNREFUSED',
			phase: Phase.Faults,
		});
		expect(listBroken({ sends: [refused], runs: [] })).toEqual([]);
	});

	test('reports a call that ran outside its home region', () => {
		// An entry in the wrong region runs the call instead of naming entries of the home region. Data leaves
		// its region unnoticed.
		const runs = [createRun({ target: 'bookings-ocho-1', region: 'ocho' })];
		expect(listBroken({ sends: [createSend()], runs })).toEqual([Invariant.BoundCallsStayInRegion]);
		expect(listBroken({ sends: [createSend({ home: undefined })], runs })).toEqual([]);
	});

	test('reports a stream that was interrupted by a planned stop', () => {
		// An entry exits while a stream is still running. The draft is incomplete although nothing has failed.
		const incomplete = createSend({ told: SendOutcome.Incomplete, phase: Phase.Replacement });
		const unknown = createSend({ told: SendOutcome.Unknown, phase: Phase.Replacement });
		expect(listBroken({ sends: [incomplete], runs: [] })).toEqual([Invariant.GracefulStop]);
		expect(listBroken({ sends: [unknown], runs: [] })).toEqual([Invariant.GracefulStop]);
		const ticketed = createPaymentSend({ told: SendOutcome.Unknown, phase: Phase.Replacement });
		expect(listBroken({ sends: [ticketed], runs: [] })).toEqual([]);
	});
});
