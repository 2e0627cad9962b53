/**
 * The body of a request to a model engine.
 */

import { z } from 'zod';

const mostTokens = 1_000_000;
const charactersPerToken = 4;

export const inferenceRequestSchema = z.strictObject({
	prompt: z.string(),
	/** Tokens to generate. */
	maxTokens: z.number().int().min(1).max(mostTokens),
	/** Tokens at the start of the prompt that requests with the same prefix key share. */
	prefixTokens: z.number().int().min(0).max(mostTokens).optional(),
	/** Whether the answer is sent token by token. */
	stream: z.boolean().default(true),
});

export type InferenceRequest = z.output<typeof inferenceRequestSchema>;

/**
 * Length of the prompt in tokens. A stated prefix may be longer than the text, so that a test of long
 * prompts need not send them.
 */
export function countPromptTokens(request: InferenceRequest): number {
	return Math.max(Math.ceil(request.prompt.length / charactersPerToken), request.prefixTokens ?? 0);
}

/** The text of one token; the same index gives the same text, so that readers can check a whole answer. */
export function formatToken(index: number): string {
	return ` t${index}`;
}
