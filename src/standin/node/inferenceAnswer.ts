/**
 * The answer of a model engine to one request: a server-sent event for each token, or one JSON document.
 */

import type { ServerResponse } from 'node:http';
import type { InferenceRequest } from '../common/inferenceRequest';
import { formatToken } from '../common/inferenceRequest';
import type { TargetAnswer } from './targetAnswer';

/** Turns tokens into an answer, at the pace at which the client reads. */
export class InferenceAnswer {
	private readonly texts: string[] = [];
	private isOpen = false;
	private cachedTokens = 0;

	constructor(
		private readonly answer: TargetAnswer,
		private readonly response: ServerResponse,
		private readonly inference: InferenceRequest,
		private readonly promptTokens: number,
	) {}

	/** Notes what the cache held and gives the prompt tokens that remain to be read. */
	start(cachedTokens: number): number {
		this.cachedTokens = cachedTokens;
		return Math.max(0, this.promptTokens - cachedTokens);
	}

	/** Adds a token; `setPaused` is called while the client's connection takes no more. */
	addToken(index: number, setPaused: (isPaused: boolean) => void): void {
		const text = formatToken(index);
		if (!this.inference.stream) {
			this.texts.push(text);
			return;
		}
		if (!this.isOpen) {
			this.isOpen = true;
			this.answer.open(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
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
