import { fc, test } from '@fast-check/jest';
import type { RequestId } from '../../ids/common/ids';
import { JournalStep } from '../common/requestJournal';
import { maxDetailCharacters, maxSteps, RingRequestJournal } from '../common/ringRequestJournal';

const request = { service: 'bookings', organisation: 'harbour-hotel', requestClass: 'urgent' };

function createJournal(capacity: number): RingRequestJournal {
	return new RingRequestJournal(capacity, () => new Date(0));
}

function createId(number: number): RequestId {
	return `request-${number}` as RequestId;
}

describe('RingRequestJournal', () => {
	test.prop([fc.integer({ min: 1, max: 10 }), fc.array(fc.nat({ max: 30 }), { maxLength: 80 })], { seed: 6 })(
		'keeps the newest requests, up to its capacity',
		(capacity, numbers) => {
			const journal = createJournal(capacity);
			let kept: number[] = [];
			for (const number of numbers) {
				journal.open(createId(number), request, 0);
				if (!kept.includes(number)) {
					kept = [...kept, number].slice(-capacity);
				}
			}
			const found = Array.from({ length: 31 }, (_, number) => number).filter(
				number => journal.find(createId(number)) !== undefined,
			);
			expect(found).toEqual([...kept].sort((left, right) => left - right));
		},
	);

	// A request that is retried for minutes has more steps than are kept. Its record must still show the beginning and
	// the end.
	it('keeps the beginning and the end of a request with too many steps', () => {
		const journal = createJournal(1);
		journal.open(createId(1), request, 100);
		journal.addStep(createId(1), JournalStep.Received, 'POST /draft', 100);
		for (let attempt = 1; attempt <= 2 * maxSteps; attempt++) {
			journal.addStep(createId(1), JournalStep.Retried, 'x'.repeat(2 * maxDetailCharacters), 100 + attempt);
		}
		journal.addStep(createId(1), JournalStep.Ended, 'unknown', 350);
		const entries = journal.find(createId(1))?.entries ?? [];
		expect(entries).toHaveLength(maxSteps);
		expect(entries[0]?.step).toBe(JournalStep.Received);
		expect(entries[1]?.detail).toHaveLength(maxDetailCharacters);
		expect(entries.at(-1)).toEqual({ step: JournalStep.Ended, detail: 'unknown', sinceArrivalMs: 250 });
	});

	it('ignores steps of a request without a record', () => {
		const journal = createJournal(1);
		journal.addStep(createId(1), JournalStep.Ended, 'late', 1);
		expect(journal.find(createId(1))).toBeUndefined();
	});
});
