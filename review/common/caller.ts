/**
 * A small stand-in of clients: it sends one request and tells what came back.
 */

import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';

export interface CallOptions {
	readonly method: string;
	readonly path: string;
	readonly host?: string;
	readonly deadlineMs: number;
	readonly body?: string | Buffer;
	readonly headers?: Readonly<Record<string, string>>;
	/** The client closes its connection after this time, if it has no answer. */
	readonly leaveAfterMs?: number;
}

/** What a client got. */
export interface Reply {
	readonly id: string;
	readonly sentMs: number;
	readonly endedMs: number;
	/** Undefined if no answer began. */
	readonly status: number | undefined;
	readonly stamp: string | undefined;
	readonly retryAfter: string | undefined;
	readonly body: string;
	/** Whether the answer ended in the way that its head announces. */
	readonly isComplete: boolean;
	readonly error: string | undefined;
}

const siteHost = 'rounds.example';

/** Sends requests to one entry over connections that it keeps. */
export class Caller {
	private readonly agent = new Agent({ keepAlive: true });

	constructor(private readonly port: number) {}

	async send(options: CallOptions): Promise<Reply> {
		const id = randomBytes(8).toString('hex');
		const sentMs = Date.now();
		return new Promise(resolve => {
			let status: number | undefined;
			let stamp: string | undefined;
			let retryAfter: string | undefined;
			let body = '';
			const finish = (isComplete: boolean, error: string | undefined): void => {
				clearTimeout(leave);
				resolve({ id, sentMs, endedMs: Date.now(), status, stamp, retryAfter, body, isComplete, error });
			};
			const sent = request(
				{
					host: '127.0.0.1',
					port: this.port,
					agent: this.agent,
					method: options.method,
					path: options.path,
					headers: {
						host: options.host ?? siteHost,
						'anvilroad-request-id': id,
						'anvilroad-deadline-ms': String(options.deadlineMs),
						...options.headers,
					},
				},
				answer => {
					status = answer.statusCode;
					const { 'anvilroad-server-stamp': signature } = answer.headers;
					stamp = typeof signature === 'string' ? signature : undefined;
					retryAfter = answer.headers['retry-after'];
					answer.setEncoding('utf8');
					answer.on('data', (chunk: string) => {
						body += chunk;
					});
					answer.on('error', () => undefined);
					answer.on('close', () => {
						finish(answer.complete, answer.complete ? undefined : 'the answer was cut');
					});
				},
			);
			const leave = setTimeout(
				() => {
					sent.destroy(new Error('the client left'));
				},
				options.leaveAfterMs ?? options.deadlineMs + 500,
			);
			sent.on('error', error => {
				finish(false, error.message);
			});
			sent.end(options.body);
		});
	}

	close(): void {
		this.agent.destroy();
	}
}
