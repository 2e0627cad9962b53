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

	it('accepts a complete echo', () => {
		expect(checkAnswer(options, sent, createAnswer()).kind).toBe(ResultKind.Ok);
	});

	// A gateway that mixes up two connections sends a caller the answer to another caller's request. Status and
	// length can match, so that the error is visible only in the bytes of the body.
	it('fails an answer with other bytes, an incomplete body, no outcome or an error status', () => {
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

	it('counts a request as refused if its outcome states that it was not run', () => {
		const refusal = createAnswer({ status: 503, outcome: 'not-run', error: 'overloaded' });
		expect(checkAnswer(options, sent, refusal)).toEqual({ kind: ResultKind.Refused, reason: 'overloaded' });
	});
});

describe('LoadRecorder', () => {
	it('reports the percentiles of correct answers and counts other results by reason', () => {
		const recorder = new LoadRecorder();
		for (let latencyMs = 1; latencyMs <= 100; latencyMs++) {
			recorder.recordResult({ kind: ResultKind.Ok, reason: '' }, latencyMs);
		}
		recorder.recordResult({ kind: ResultKind.Refused, reason: 'overloaded' }, 5_000);
		recorder.recordResult({ kind: ResultKind.Failed, reason: 'ECONNRESET' }, 5_000);
		recorder.recordResult({ kind: ResultKind.Failed, reason: 'ECONNRESET' }, 5_000);
		const summary = recorder.createSummary(2_000);
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
	it('adds user and system time for a command name with parentheses', () => {
		const text = '42 (a (b) c) S 1 42 42 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 11 0 100 1000 10';
		expect(parseProcessorSeconds(text)).toBe(2);
		expect(parseProcessorSeconds('')).toBeUndefined();
	});
});
