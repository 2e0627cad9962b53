/**
 * A minimal reverse proxy built on `http` and `undici`, used as the baseline of a comparison. It forwards requests to
 * one target without routing rules, checks or buffering. The difference to an entry is the cost of the entry's own
 * work.
 */

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Pool } from 'undici';
import type { ListenAddress } from '../../core/settings/common/settingsTypes';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and `host`, which the HTTP client sets. */
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
]);

/** A running pass-through proxy. */
export interface PassThrough {
	readonly url: string;
	close(): Promise<void>;
}

/** Starts a pass-through proxy to one base URL. */
export async function startPassThrough(
	listen: ListenAddress,
	targetUrl: string,
	connections: number,
): Promise<PassThrough> {
	const pool = new Pool(targetUrl, { connections, pipelining: 1 });
	const server = createServer((request, response) => {
		void forwardRequest(pool, request, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(listen.port, listen.host, resolve);
	});
	const { port } = server.address() as AddressInfo;
	return {
		url: `http://${listen.host}:${port}`,
		close: async () => {
			server.close();
			server.closeIdleConnections();
			await pool.close();
		},
	};
}

/** Uses `stream`, which writes the answer directly to the caller. `request` needs about twice the CPU time. */
async function forwardRequest(pool: Pool, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		await pool.stream(
			{
				path: request.url ?? '/',
				method: request.method ?? 'GET',
				headers: listEndToEndHeaders(request.headers),
				body: hasBody(request.headers) ? request : null,
			},
			answer => {
				response.writeHead(answer.statusCode, listEndToEndHeaders(answer.headers));
				return response;
			},
		);
	} catch {
		response.destroy();
	}
}

function hasBody(requestHeaders: IncomingHttpHeaders): boolean {
	return 'content-length' in requestHeaders || 'transfer-encoding' in requestHeaders;
}

function listEndToEndHeaders(receivedHeaders: IncomingHttpHeaders): IncomingHttpHeaders {
	const endToEndHeaders: IncomingHttpHeaders = {};
	for (const name in receivedHeaders) {
		if (!hopByHopHeaders.has(name)) {
			endToEndHeaders[name] = receivedHeaders[name];
		}
	}
	return endToEndHeaders;
}
