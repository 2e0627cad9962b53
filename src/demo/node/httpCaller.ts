/**
 * A caller of the demo. It keeps apart what a caller must be able to keep apart: a whole answer, a cut one
 * and none.
 */

import { Readable } from 'node:stream';
import { setTimeout as waitFor } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import { Agent } from 'undici';
import type { ITimerService } from '../../base/common/timerService';
import type { ICaller, CallAnswer, CallQuestion } from '../common/caller';

const connectionsPerOrigin = 256;
const answerTimeoutMs = 60_000;
/** Lets the first half of a body arrive before the connection breaks. */
const uploadPauseMs = 50;

/** Calls over HTTP/1.1 with connections of its own. */
export class HttpCaller implements ICaller {
	private readonly agent = new Agent({
		connections: connectionsPerOrigin,
		pipelining: 1,
		headersTimeout: answerTimeoutMs,
		bodyTimeout: answerTimeoutMs,
	});

	constructor(private readonly timers: ITimerService) {}

	async send(question: CallQuestion): Promise<CallAnswer> {
		const startMs = this.timers.getNow();
		const pieces: Buffer[] = [];
		let head: Pick<CallAnswer, 'status' | 'headers'> = { status: 0, headers: {} };
		let fault = '';
		try {
			const answer = await this.dispatch(question);
			head = { status: answer.statusCode, headers: listHeaders(answer.headers) };
			for await (const piece of answer.body as AsyncIterable<Buffer>) {
				pieces.push(piece);
			}
		} catch (error) {
			fault = error instanceof Error ? error.message || error.name : String(error);
		}
		return { ...head, body: Buffer.concat(pieces), fault, tookMs: this.timers.getNow() - startMs };
	}

	async cancelAfter(question: CallQuestion, bytes: number): Promise<number> {
		const answer = await this.dispatch(question);
		let read = 0;
		try {
			for await (const piece of answer.body as AsyncIterable<Buffer>) {
				read += piece.length;
				if (read >= bytes) {
					break;
				}
			}
		} finally {
			answer.body.destroy();
		}
		return read;
	}

	async cancelUpload(question: CallQuestion): Promise<void> {
		const whole = Buffer.from(question.body ?? '');
		const half = Readable.from(streamAndFail(whole.subarray(0, whole.length / 2)));
		try {
			await this.dispatch(question, half, { 'content-length': String(whole.length) });
		} catch {
			return;
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private dispatch(
		question: CallQuestion,
		body: Buffer | Readable | null = toBody(question),
		moreHeaders: Readonly<Record<string, string>> = {},
	): Promise<Dispatcher.ResponseData> {
		const { origin, pathname, search } = new URL(question.url);
		return this.agent.request({
			origin,
			path: `${pathname}${search}`,
			method: question.method,
			headers: { ...question.headers, ...moreHeaders },
			body,
		});
	}
}

function toBody(question: CallQuestion): Buffer | null {
	return question.body === undefined ? null : Buffer.from(question.body);
}

async function* streamAndFail(piece: Buffer): AsyncGenerator<Buffer> {
	yield piece;
	await waitFor(uploadPauseMs);
	throw new Error('the caller leaves');
}

function listHeaders(raw: Dispatcher.ResponseData['headers']): Record<string, string> {
	return Object.fromEntries(
		Object.entries(raw).flatMap(([name, value]) => (typeof value === 'string' ? [[name, value]] : [])),
	);
}
