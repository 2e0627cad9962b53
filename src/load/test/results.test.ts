import type { ReceivedAnswer } from '../common/answerCheck';
import { checkAnswer, ResultKind } from '../common/answerCheck';
import { renderSummary } from '../common/loadReport';
import { LoadRecorder } from '../common/loadStatistics';
import { parseProcessorSeconds } from '../common/processStat';

const sent = Uint8Array.from([1, 2, 3]);

function createAnswer(more: Partial<ReceivedAnswer> = {}): ReceivedAnswer {
	return { status: 200, outcome: 'answered', error: undefined, body: Uint8Array.from(sent), ...more };
}

describe('checkAnswer', () => {
	const options = { isEcho: true, isOutcomeExpected: true };

	it('takes a whole echo for right', () => {
		expect(checkAnswer(options, sent, createAnswer()).kind).toBe(ResultKind.Ok);
	});

	// A gateway that confuses two connections hands one caller the answer to another's request. Status and
	// length may well fit; only the bytes tell.
	it('fails an answer with other bytes, a piece of the body or no outcome', () => {
		const wrong = [
			createAnswer({ body: Uint8Array.from([1, 2, 4]) }),
			createAnswer({ body: Uint8Array.from([1, 2]) }),
			createAnswer({ outcome: undefined }),
			createAnswer({ status: 502, outcome: 'unknown', error: 'target-failed' }),
		];
		expect(wrong.map(answer => checkAnswer(options, sent, answer).kind)).toEqual(
			wrong.map(() => ResultKind.Failed),
		);
	});

	it('counts as refused only what was promised not to have run', () => {
		const refusal = createAnswer({ status: 503, outcome: 'not-run', error: 'overloaded' });
		expect(checkAnswer(options, sent, refusal)).toEqual({ kind: ResultKind.Refused, reason: 'overloaded' });
	});
});

describe('LoadRecorder', () => {
	it('gives the percentiles of right answers and counts the rest by reason', () => {
		const recorder = new LoadRecorder();
		for (let latencyMs = 1; latencyMs <= 100; latencyMs++) {
			recorder.noteEnd({ kind: ResultKind.Ok, reason: '' }, latencyMs);
		}
		recorder.noteEnd({ kind: ResultKind.Refused, reason: 'overloaded' }, 5_000);
		recorder.noteEnd({ kind: ResultKind.Failed, reason: 'ECONNRESET' }, 5_000);
		recorder.noteEnd({ kind: ResultKind.Failed, reason: 'ECONNRESET' }, 5_000);
		const summary = recorder.measure(2_000);
		expect(summary).toMatchObject({ count: 103, ok: 100, refused: 1, failed: 2, okPerSecond: 50 });
		expect(summary.p50Ms).toBeCloseTo(50, 0);
		expect(summary.p99Ms).toBeCloseTo(99, 0);
		expect(summary.maxMs).toBeCloseTo(100, 0);
		expect(renderSummary(summary).split('\n').slice(2)).toEqual([
			expect.stringContaining('100.'),
			'2 x ECONNRESET',
			'1 x overloaded',
		]);
	});
});

describe('parseProcessorSeconds', () => {
	it('adds user and system time, whatever the name of the command', () => {
		const text = '42 (a (b) c) S 1 42 42 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 11 0 100 1000 10';
		expect(parseProcessorSeconds(text)).toBe(2);
		expect(parseProcessorSeconds('')).toBeUndefined();
	});
});
