import fc from 'fast-check';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import { parseEvents } from '../../../common/streams/test/referenceEvents';
import { findWrong } from './answerOracle';
import type { RandomOutcome } from './randomEntry';
import { runAnswer } from './randomEntry';
import type { RandomAnswer } from './randomRuns';
import { listEvents, mendedAnswers, randomAnswers } from './randomRuns';

/** More by hand: DRAWS=100000. */
const numRuns = Number(process.env.DRAWS ?? 1_500);
const seed = Number(process.env.SEED ?? 21);
const timeoutMs = 600_000;

/** Checks answers until one is wrong, and fails with its course. */
async function checkAnswers(
	answers: fc.Arbitrary<RandomAnswer>,
	check: (answer: RandomAnswer, outcome: RandomOutcome) => string | undefined,
): Promise<void> {
	const property = fc.asyncProperty(answers, async answer => {
		const outcome = await runAnswer(answer);
		const wrong = check(answer, outcome);
		if (wrong !== undefined) {
			throw new Error([wrong, outcome.received.bytes.toString(), ...outcome.steps].join('\n'));
		}
	});
	await fc.assert(property, { seed, numRuns });
}

describe('a stream whose runs are random, direct and over forwards', () => {
	// Guards against an answer that is broken off, repeats events or has parts of two, and looks complete to its caller.
	it(
		'has its events in order, and ends only as a run shows it',
		() =>
			checkAnswers(randomAnswers, ({ stream }, { sent, received }) =>
				findWrong(listEvents(stream), sent, received),
			),
		timeoutMs,
	);

	// Guards against a stream that is cut although a second run goes on as it is asked to.
	it(
		'is whole if its second run goes on',
		() =>
			checkAnswers(mendedAnswers, ({ stream }, { received: { bytes, end } }) => {
				const missing = listEvents(stream).length - parseEvents(bytes).events.length;
				return end === AnswerEnd.Certain && missing === 0 ? undefined : `${missing} missing, ${String(end)}`;
			}),
		timeoutMs,
	);
});
