/**
 * Checks the answers of the model engine's stand-in, whose tokens are known beforehand.
 */

import { z } from 'zod';
import type { CallAnswer } from './caller';
import { getText, parseJson } from './caller';

const wholeAnswerSchema = z.object({ text: z.string(), tokens: z.number() });

function formatToken(index: number): string {
	return ` t${index}`;
}

/** The body of a request for so many tokens. */
export function createInference(prompt: string, maxTokens: number, stream: boolean): string {
	return JSON.stringify({ prompt, maxTokens, stream });
}

/** Whether a single JSON answer holds exactly the tokens asked for. */
export function isWholeAnswer(answer: CallAnswer, tokens: number): boolean {
	const parsed = wholeAnswerSchema.safeParse(parseJson(answer));
	const text = Array.from({ length: tokens }, (_, index) => formatToken(index)).join('');
	return answer.fault === '' && parsed.success && parsed.data.text === text;
}

/** Whether a streamed answer holds each token once, in order, and its end mark. */
export function isWholeStream(answer: CallAnswer, tokens: number): boolean {
	const wanted = Array.from({ length: tokens }, (_, index) =>
		JSON.stringify({ token: index, text: formatToken(index) }),
	);
	const text = [...wanted, '[DONE]'].map(data => `data: ${data}\n\n`).join('');
	return answer.fault === '' && getText(answer) === text;
}

/** How many tokens of a stream arrived. */
export function countTokens(answer: CallAnswer): number {
	return getText(answer).split('data: {').length - 1;
}
