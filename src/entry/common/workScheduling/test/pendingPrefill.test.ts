import { PendingPrefill } from '../pendingPrefill';

const timeConstantMs = 400;
const question = 0;
const draft = 1;

describe('PendingPrefill', () => {
	// Guards against sending more prompts to a busy engine: other entries keep it busy, so it begins this entry's
	// prompt seconds after it was sent. Counted down with time, the prompt would seem to be finished long before.
	it('counts a prompt until its answer begins, however long that takes', () => {
		const pending = new PendingPrefill(timeConstantMs);
		pending.noteSent(draft, 200, 0);
		expect(pending.sumMs(draft)).toBe(200);
		expect(pending.computeMeanMs(draft, 5_000)).toBeCloseTo(200, 0);
		pending.noteCompleted(draft, 200, 5_000);
		expect(pending.sumMs(draft)).toBe(0);
	});

	it('does not count less urgent prompts', () => {
		const pending = new PendingPrefill(timeConstantMs);
		pending.noteSent(draft, 200, 0);
		pending.noteSent(question, 10, 0);
		expect(pending.sumMs(question)).toBe(10);
		expect(pending.sumMs(draft)).toBe(210);
	});

	it('keeps a moving average', () => {
		const pending = new PendingPrefill(timeConstantMs);
		pending.noteSent(draft, 100, 0);
		expect(pending.computeMeanMs(draft, 0)).toBe(0);
		pending.noteCompleted(draft, 100, timeConstantMs);
		expect(pending.computeMeanMs(draft, timeConstantMs)).toBeCloseTo(63, 0);
		expect(pending.computeMeanMs(draft, 2 * timeConstantMs)).toBeCloseTo(23, 0);
	});
});
