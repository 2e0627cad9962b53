/**
 * The HTTP client of a load run: sends requests, reads their complete answers and checks them.
 */

import type { Dispatcher } from 'undici';
import { Pool } from 'undici';
import { headers } from '../../core/headers/common/headers';
import type { RequestResult, ReceivedAnswer } from '../common/answerCheck';
import { checkAnswer, ResultKind } from '../common/answerCheck';
import type { LoadOptions } from '../common/loadOptions';

const answerTimeoutMs = 130_000;

/** The connection pools of one run, one per base URL. Requests are distributed over them round-robin. */
export class LoadClient {
	private readonly pools: readonly Pool[];
	private readonly requestHeaders: Readonly<Record<string, string>>;

	constructor(private readonly options: LoadOptions) {
		this.pools = options.targetUrls.map(
			url =>
				new Pool(url, {
					connections: options.connections,
					pipelining: 1,
					headersTimeout: answerTimeoutMs,
					bodyTimeout: answerTimeoutMs,
				}),
		);
		this.requestHeaders = createRequestHeaders(options);
	}

	/** Sends a request and checks its answer. A transport error is returned as a failed result, not thrown. */
	async send(sequence: number, body: Buffer): Promise<RequestResult> {
		const pool = this.pools[sequence % this.pools.length];
		if (pool === undefined) {
			return { kind: ResultKind.Failed, reason: 'no base URL' };
		}
		try {
			return checkAnswer(this.options, body, await this.exchange(pool, body));
		} catch (error) {
			return { kind: ResultKind.Failed, reason: describeError(error) };
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.pools.map(pool => pool.destroy()));
	}

	private async exchange(pool: Pool, body: Buffer): Promise<ReceivedAnswer> {
		const answer = await pool.request({
			path: this.options.path,
			method: this.options.method,
			headers: this.requestHeaders,
			body: body.length > 0 ? body : null,
		});
		return {
			status: answer.statusCode,
			outcome: findHeader(answer.headers, headers.outcome),
			error: findHeader(answer.headers, headers.error),
			body: new Uint8Array(await answer.body.arrayBuffer()),
		};
	}
}

function createRequestHeaders(options: LoadOptions): Record<string, string> {
	const fields: [string, string | undefined][] = [
		[headers.organisation, options.organisation],
		[headers.requestClass, options.requestClass],
		[headers.deadlineMs, options.deadlineMs?.toString()],
		['content-type', options.bodyBytes > 0 ? 'application/octet-stream' : undefined],
	];
	return Object.fromEntries(fields.flatMap(([name, value]) => (value === undefined ? [] : [[name, value]])));
}

function findHeader(answerHeaders: Dispatcher.ResponseData['headers'], name: string): string | undefined {
	const value = answerHeaders[name];
	return typeof value === 'string' ? value : undefined;
}

function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}
	const code = 'code' in error ? String(error.code) : error.name;
	return code === '' ? error.message : code;
}
