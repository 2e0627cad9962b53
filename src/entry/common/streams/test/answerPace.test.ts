import { AnswerPace } from '../answerPace';

describe('the pace of an answer', () => {
	// A target takes a request and never answers. The engineer on call must not look for a slow stream.
	it('tells a target that gave nothing', () => {
		const pace = new AnswerPace(1_000);
		expect(pace.describe(4_000)).toBe('no answer in 3000 ms');
	});

	// An engine begins an answer at once, then reads long prompts of others. The caller has its first words
	// and waits for the rest until its deadline.
	it('tells an answer that began in time and then crawled', () => {
		const pace = new AnswerPace(1_000);
		pace.noteHead(1_050);
		for (const at of [1_051, 1_400, 2_700, 2_800]) {
			pace.notePiece(at);
		}
		expect(pace.describe(3_300)).toBe(
			'answer began after 50 ms, 4 pieces, longest pause 1300 ms, last 500 ms ago',
		);
	});

	it('counts the time before the first piece as a pause', () => {
		const pace = new AnswerPace(0);
		pace.noteHead(10);
		expect(pace.describe(400)).toBe('answer began after 10 ms, no piece in 390 ms');
		pace.notePiece(500);
		expect(pace.describe(500)).toBe(
			'answer began after 10 ms, 1 pieces, longest pause 490 ms, last 0 ms ago',
		);
	});
});
