import { UnansweredReading } from '../pendingPrefill';

const fadeMs = 400;
const question = 0;
const draft = 1;

describe('reading that has not been answered', () => {
	// Others keep an engine busy, so it begins this entry's prompt seconds after it was sent. By the clock alone
	// it would have been read long ago, and the next prompt would be sent to the same engine.
	it('stays ahead until the answer begins, however long that takes', () => {
		const reading = new UnansweredReading(fadeMs);
		reading.noteSent(draft, 200, 0);
		expect(reading.sumOwn(draft)).toBe(200);
		expect(reading.computeMeanOwn(draft, 5_000)).toBeCloseTo(200, 0);
		reading.noteSettled(draft, 200, 5_000);
		expect(reading.sumOwn(draft)).toBe(0);
	});

	it('does not keep a more urgent request waiting', () => {
		const reading = new UnansweredReading(fadeMs);
		reading.noteSent(draft, 200, 0);
		reading.noteSent(question, 10, 0);
		expect(reading.sumOwn(question)).toBe(10);
		expect(reading.sumOwn(draft)).toBe(210);
	});

	it('remembers for a while what it was on average', () => {
		const reading = new UnansweredReading(fadeMs);
		reading.noteSent(draft, 100, 0);
		expect(reading.computeMeanOwn(draft, 0)).toBe(0);
		reading.noteSettled(draft, 100, fadeMs);
		expect(reading.computeMeanOwn(draft, fadeMs)).toBeCloseTo(63, 0);
		expect(reading.computeMeanOwn(draft, 2 * fadeMs)).toBeCloseTo(23, 0);
	});
});
