import { isFinishable } from '../finishable';

const draft = { parts: [], promptTokens: 17_000, mostOutputTokens: 480, hintedOutputTokens: 210 };

describe('isFinishable', () => {
	// An entry has three seconds left of its stop when a draft arrives that takes two to begin and two to be
	// written. It was taken, and its caller saw the text break off.
	it('takes no long answer that would be cut off', () => {
		expect(isFinishable(draft, 3_100)).toBe(false);
	});

	it('takes it while there is time, and short ones for longer', () => {
		expect(isFinishable(draft, 7_000)).toBe(true);
		expect(isFinishable({ ...draft, hintedOutputTokens: 40 }, 3_100)).toBe(true);
		expect(isFinishable(undefined, 3_100)).toBe(true);
	});

	it('goes by the most that may be written where no length is hinted', () => {
		expect(isFinishable({ ...draft, hintedOutputTokens: undefined }, 7_000)).toBe(false);
	});
});
