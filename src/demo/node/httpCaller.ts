/**
 * The HTTP client of the demo. It distinguishes complete answers, incomplete answers and requests without an
 * answer.
 */

import { Readable } from 'node:stream';
import { setTimeout as waitFor } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import { Agent } from 'undici';
import type { ITimerService } from '../../base/common/timerService';
import type { ICaller, CallAnswer, CallRequest } from '../common/caller';

const connectionsPerOrigin = 256;
const answerTimeoutMs = 60_000;
/** Time for the first half of a body to arrive before the connection is closed. */
const uploadPauseMs = 50;

/** Sends requests over HTTP/1.1 with its own connection pool. */
export class HttpCaller implements ICaller {
	private readonly agent = new Agent({
		connections: connectionsPerOrigin,
		pipelining: 1,
		headersTimeout: answerTimeoutMs,
		bodyTimeout: answerTimeoutMs,
	});

	constructor(private readonly timers: ITimerService) {}

	async send(request: CallRequest): Promise<CallAnswer> {
		const startMs = this.timers.getNow();
		const chunks: Buffer[] = [];
		let head: Pick<CallAnswer, 'status' | 'headers'> = { status: 0, headers: {} };
		let fault = '';
		try {
			const answer = await this.dispatch(request);
			head = { status: answer.statusCode, headers: toHeaderRecord(answer.headers) };
			for await (const chunk of answer.body as AsyncIterable<Buffer>) {
				chunks.push(chunk);
			}
		} catch (error) {
			fault = error instanceof Error ? error.message || error.name : String(error);
		}
		return { ...head, body: Buffer.concat(chunks), fault, tookMs: this.timers.getNow() - startMs };
	}

	async cancelAfter(request: CallRequest, minBytes: number): Promise<number> {
		const answer = await this.dispatch(request);
		let read = 0;
		try {
			for await (const chunk of answer.body as AsyncIterable<Buffer>) {
				read += chunk.length;
				if (read >= minBytes) {
					break;
				}
			}
		} finally {
			answer.body.destroy();
		}
		return read;
	}

	async cancelUpload(request: CallRequest): Promise<void> {
		const fullBody = Buffer.from(request.body ?? '');
		const firstHalf = Readable.from(streamAndFail(fullBody.subarray(0, fullBody.length / 2)));
		try {
			await this.dispatch(request, firstHalf, { 'content-length': String(fullBody.length) });
		} catch {
			return;
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private dispatch(
		request: CallRequest,
		body: Buffer | Readable | null = toBody(request),
		extraHeaders: Readonly<Record<string, string>> = {},
	): Promise<Dispatcher.ResponseData> {
		const { origin, pathname, search } = new URL(request.url);
		return this.agent.request({
			origin,
			path: `${pathname}${search}`,
			method: request.method,
			headers: { ...request.headers, ...extraHeaders },
			body,
		});
	}
}

function toBody(request: CallRequest): Buffer | null {
	return request.body === undefined ? null : Buffer.from(request.body);
}

async function* streamAndFail(chunk: Buffer): AsyncGenerator<Buffer> {
	yield chunk;
	await waitFor(uploadPauseMs);
	throw new Error('the caller aborted the upload');
}

function toHeaderRecord(raw: Dispatcher.ResponseData['headers']): Record<string, string> {
	return Object.fromEntries(
		Object.entries(raw).flatMap(([name, value]) => (typeof value === 'string' ? [[name, value]] : [])),
	);
}
