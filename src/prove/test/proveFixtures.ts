/**
 * Creates records of sends and runs for the tests of the campaign's checks.
 */

import type { RunRecord } from '../common/invariants';
import type { SendRecord } from '../common/sendRecord';
import { CallKind, Phase, SendOutcome } from '../common/sendRecord';

/** Creates the record of a check that was answered in the calm phase, with `changes` applied. */
export function createSend(changes: Partial<SendRecord> = {}): SendRecord {
	return {
		callId: 'call-1',
		kind: CallKind.Check,
		home: 'kingston',
		entry: 'entry-kingston-1',
		region: 'kingston',
		isTicketed: false,
		phase: Phase.Calm,
		told: SendOutcome.Answered,
		status: 200,
		errorKind: '',
		isExpected: true,
		text: 'answer',
		fault: '',
		startMs: 0,
		tookMs: 10,
		...changes,
	};
}

/** Creates the record of a payment that was answered in the calm phase, with `changes` applied. */
export function createPaymentSend(changes: Partial<SendRecord> = {}): SendRecord {
	return createSend({ kind: CallKind.Payment, isTicketed: true, ...changes });
}

/** Creates the record of one run of that call in its home region, with `changes` applied. */
export function createRun(changes: Partial<RunRecord> = {}): RunRecord {
	return { callId: 'call-1', target: 'bookings-kingston-1', region: 'kingston', runs: 1, ...changes };
}
