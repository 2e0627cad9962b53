/**
 * Clients of the deployment, which keep their connections.
 */

import { Agent, request as sendRequest } from 'node:http';
import type { Answer, Site } from './site';
import { host } from './site';

export interface ClientRequest {
	readonly id: string;
	readonly port: number;
	readonly hostName: string;
	readonly method: string;
	readonly path: string;
	readonly deadlineMs: number;
	readonly body?: Buffer;
	/** Closes the connection after this time, if no answer has come. */
	readonly leaveAfterMs?: number;
}

export type ClientAnswer = Answer & Pick<ClientRequest, 'id'>;

/** Sends requests on kept connections and records what was sent and answered. */
export class Clients {
	private readonly agent = new Agent({ keepAlive: true, maxSockets: 400 });

	constructor(private readonly site: Pick<Site, 'record'>) {}

	/** Resolves at the client's deadline at the latest, with status 0 if no whole answer has come. */
	async send(call: ClientRequest): Promise<ClientAnswer> {
		const { id, port, hostName, method, path, deadlineMs, body } = call;
		const sentMs = performance.now();
		this.site.record(
			`sent      ${id} ${method} ${path}${body === undefined ? '' : ` ${body.byteLength} bytes`}`,
		);
		const answer = await new Promise<Answer>(resolve => {
			const finish = (status: number, text: string, headers: Answer['headers']): void => {
				clearTimeout(limit);
				resolve({ status, text, headers, tookMs: performance.now() - sentMs });
			};
			const sent = sendRequest(
				{
					host,
					port,
					path,
					method,
					agent: this.agent,
					headers: {
						host: hostName,
						'anvilroad-request-id': id,
						'anvilroad-deadline-ms': String(deadlineMs),
						...(body === undefined ? {} : { 'content-length': body.byteLength }),
					},
				},
				response => {
					const chunks: Buffer[] = [];
					response.on('data', (chunk: Buffer) => chunks.push(chunk));
					response.on('error', () => {
						finish(0, 'the answer broke off', {});
					});
					response.on('end', () => {
						finish(response.statusCode ?? 0, Buffer.concat(chunks).toString(), response.headers);
					});
				},
			);
			sent.on('error', error => {
				finish(0, error.message, {});
			});
			const limit = setTimeout(() => {
				sent.destroy(new Error('the client left'));
			}, call.leaveAfterMs ?? deadlineMs);
			sent.end(body);
		});
		const text = answer.status === 200 ? '' : ` ${answer.text.trim().slice(0, 160)}`;
		this.site.record(`answered  ${id} ${answer.status} after ${Math.round(answer.tookMs)} ms${text}`);
		return { ...answer, id };
	}

	close(): void {
		this.agent.destroy();
	}
}
