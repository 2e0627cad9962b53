/**
 * The answer of a simulated model engine: either a server-sent event for each token or a single JSON document.
 */

import type { ServerResponse } from 'node:http';
import type { InferenceRequest } from '../common/inferenceRequest';
import { formatToken } from '../common/inferenceRequest';
import type { TargetAnswer } from './targetAnswer';

/** Encodes generated tokens as an answer. Slow clients pause the generation of a streamed answer. */
export class InferenceAnswer {
	private readonly texts: string[] = [];
	private isHeadSent = false;
	private cachedTokens = 0;

	constructor(
		private readonly answer: TargetAnswer,
		private readonly response: ServerResponse,
		private readonly inference: InferenceRequest,
		private readonly promptTokens: number,
	) {}

	/** Records the number of cached prompt tokens. Returns the number of prompt tokens that remain to be processed. */
	start(cachedTokens: number): number {
		this.cachedTokens = cachedTokens;
		return Math.max(0, this.promptTokens - cachedTokens);
	}

	/** Adds a token. Calls `setPaused` with true if the response buffer is full, and with false once it has drained. */
	addToken(index: number, setPaused: (isPaused: boolean) => void): void {
		const text = formatToken(index);
		if (!this.inference.stream) {
			this.texts.push(text);
			return;
		}
		if (!this.isHeadSent) {
			this.isHeadSent = true;
			this.answer.sendHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
		}
		if (!this.answer.write(Buffer.from(`data: ${JSON.stringify({ token: index, text })}\n\n`))) {
			setPaused(true);
			this.response.once('drain', () => {
				setPaused(false);
			});
		}
	}

	finish(): void {
		if (this.inference.stream) {
			this.answer.write(Buffer.from('data: [DONE]\n\n'));
			this.answer.end();
			return;
		}
		this.answer.sendJson(200, {
			text: this.texts.join(''),
			tokens: this.texts.length,
			promptTokens: this.promptTokens,
			cachedTokens: this.cachedTokens,
		});
	}
}
