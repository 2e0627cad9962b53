import { AnswerPace } from '../answerPace';

describe('AnswerPace', () => {
	// A target accepts a request and never answers. The log must not suggest a slow stream to the engineer on
	// call.
	it('describes a target that sent nothing', () => {
		const pace = new AnswerPace(1_000);
		expect(pace.describe(4_000)).toBe('no answer in 3000 ms');
	});

	// An inference engine begins an answer at once and then processes long prompts of other requests. The
	// caller has the first words and waits for the rest until its deadline.
	it('describes an answer that began in time and then became slow', () => {
		const pace = new AnswerPace(1_000);
		pace.recordHead(1_050);
		for (const at of [1_051, 1_400, 2_700, 2_800]) {
			pace.recordChunk(at);
		}
		expect(pace.describe(3_300)).toBe(
			'answer began after 50 ms, 4 chunks, longest gap 1300 ms, last 500 ms ago',
		);
	});

	it('counts the time before the first chunk as a gap', () => {
		const pace = new AnswerPace(0);
		pace.recordHead(10);
		expect(pace.describe(400)).toBe('answer began after 10 ms, no chunk in 390 ms');
		pace.recordChunk(500);
		expect(pace.describe(500)).toBe('answer began after 10 ms, 1 chunks, longest gap 490 ms, last 0 ms ago');
	});
});
