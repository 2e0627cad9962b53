/**
 * The body of a request to a simulated model engine, and the text that the engine generates.
 */

import { z } from 'zod';

const maxTokensPerRequest = 1_000_000;
const charactersPerToken = 4;

export const inferenceRequestSchema = z.strictObject({
	prompt: z.string(),
	/** Tokens to generate. */
	maxTokens: z.number().int().min(1).max(maxTokensPerRequest),
	/** Number of tokens at the start of the prompt that are the same in all requests with this prefix key. */
	prefixTokens: z.number().int().min(0).max(maxTokensPerRequest).optional(),
	/** Whether the answer is streamed token by token. */
	stream: z.boolean().default(true),
});

export type InferenceRequest = z.output<typeof inferenceRequestSchema>;

/**
 * Estimates the length of the prompt in tokens. `prefixTokens` may exceed the length of the text, so that tests can
 * simulate long prompts without sending them.
 */
export function countPromptTokens(request: InferenceRequest): number {
	return Math.max(Math.ceil(request.prompt.length / charactersPerToken), request.prefixTokens ?? 0);
}

/** Returns the text of a token. It depends only on the index, so that clients can verify a complete answer. */
export function formatToken(index: number): string {
	return ` t${index}`;
}
