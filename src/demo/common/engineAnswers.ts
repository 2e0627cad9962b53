/**
 * Builds requests for the stand-in of the model engine and checks its answers. The stand-in generates a
 * fixed sequence of tokens, so the expected text is known.
 */

import { z } from 'zod';
import type { CallAnswer } from './caller';
import { getText, parseJson } from './caller';

const completeAnswerSchema = z.object({ text: z.string(), tokens: z.number() });

function formatToken(index: number): string {
	return ` t${index}`;
}

/** Builds the body of a request for `maxTokens` tokens. */
export function createInferenceBody(prompt: string, maxTokens: number, stream: boolean): string {
	return JSON.stringify({ prompt, maxTokens, stream });
}

/** Whether a JSON answer is complete and its text consists of exactly the first `tokens` tokens. */
export function isCompleteAnswer(answer: CallAnswer, tokens: number): boolean {
	const parsed = completeAnswerSchema.safeParse(parseJson(answer));
	const text = Array.from({ length: tokens }, (_, index) => formatToken(index)).join('');
	return answer.fault === '' && parsed.success && parsed.data.text === text;
}

/** Whether a streamed answer holds each token once and in order, followed by the end marker. */
export function isCompleteStream(answer: CallAnswer, tokens: number): boolean {
	const expectedEvents = Array.from({ length: tokens }, (_, index) =>
		JSON.stringify({ token: index, text: formatToken(index) }),
	);
	const text = [...expectedEvents, '[DONE]'].map(data => `data: ${data}\n\n`).join('');
	return answer.fault === '' && getText(answer) === text;
}

/** Counts the token events that arrived in a streamed answer. */
export function countTokens(answer: CallAnswer): number {
	return getText(answer).split('data: {').length - 1;
}
