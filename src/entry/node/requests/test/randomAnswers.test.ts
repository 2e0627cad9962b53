import fc from 'fast-check';
import { findWrong } from './answerOracle';
import { runAnswer } from './randomEntry';
import { listEvents, randomAnswers } from './randomRuns';

/** More by hand: DRAWS=100000. */
const numRuns = Number(process.env.DRAWS ?? 1_500);
const seed = Number(process.env.SEED ?? 21);
const timeoutMs = 600_000;

describe('a stream whose runs are random, direct and over forwards', () => {
	// Guards against an answer that is broken off, repeats events or has parts of two, and looks complete to its caller.
	it(
		'has its events in order, and ends only as a run shows it',
		async () => {
			await fc.assert(
				fc.asyncProperty(randomAnswers, async answer => {
					const { sent, received, steps } = await runAnswer(answer);
					const wrong = findWrong(listEvents(answer.stream), sent, received);
					if (wrong !== undefined) {
						throw new Error([wrong, received.bytes.toString(), ...steps].join('\n'));
					}
				}),
				{ seed, numRuns },
			);
		},
		timeoutMs,
	);
});
