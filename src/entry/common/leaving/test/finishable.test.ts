import { isFinishable } from '../finishable';

const draft = { parts: [], promptTokens: 17_000, maxOutputTokens: 480, hintedOutputTokens: 210 };

describe('isFinishable', () => {
	// An entry has three seconds left when a draft arrives that takes two seconds to begin and two to generate. If
	// it were accepted, its caller would receive an incomplete text.
	it('rejects a long answer that would be cut off', () => {
		expect(isFinishable(draft, 3_100)).toBe(false);
	});

	it('accepts a long answer while there is time, and short ones for longer', () => {
		expect(isFinishable(draft, 7_000)).toBe(true);
		expect(isFinishable({ ...draft, hintedOutputTokens: 40 }, 3_100)).toBe(true);
		expect(isFinishable(undefined, 3_100)).toBe(true);
	});

	it('uses the maximum output length if no length is hinted', () => {
		expect(isFinishable({ ...draft, hintedOutputTokens: undefined }, 7_000)).toBe(false);
	});
});
