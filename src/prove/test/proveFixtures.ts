/**
 * Fixtures of the campaign's tests.
 */

import type { RunRecord } from '../common/invariants';
import type { SendRecord } from '../common/sendRecord';
import { CallKind, Phase, Told } from '../common/sendRecord';

/** A check that was answered in the calm phase, but for what is changed. */
export function createSend(changes: Partial<SendRecord> = {}): SendRecord {
	return {
		callId: 'call-1',
		kind: CallKind.Check,
		home: 'kingston',
		entry: 'entry-kingston-1',
		region: 'kingston',
		isTicketed: false,
		phase: Phase.Calm,
		told: Told.Answered,
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

/** A payment that was answered in the calm phase, but for what is changed. */
export function createPaymentSend(changes: Partial<SendRecord> = {}): SendRecord {
	return createSend({ kind: CallKind.Payment, isTicketed: true, ...changes });
}

/** One run of that call at home, but for what is changed. */
export function createRun(changes: Partial<RunRecord> = {}): RunRecord {
	return { callId: 'call-1', target: 'bookings-kingston-1', region: 'kingston', runs: 1, ...changes };
}
