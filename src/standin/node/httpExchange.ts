/**
 * HTTP helpers that all stand-ins share: request URLs, headers, bodies and JSON answers.
 */

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';

const maxBodyBytes = 64 * 1_048_576;

/** Thrown if a request body exceeds the size limit. */
export class BodyError extends Error {}

/** Parses the URL of a request. Only the path and the query are meaningful, the origin is a placeholder. */
export function parseRequestUrl(request: IncomingMessage): URL {
	return new URL(request.url ?? '/', 'http://standin.invalid');
}

/** Returns the first value of a header, or undefined if it is missing. */
export function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Reads a complete body. Throws a `BodyError` if it exceeds `maxBytes`. */
export async function readBody(request: IncomingMessage, maxBytes = maxBodyBytes): Promise<Buffer> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		length += chunk.length;
		if (length > maxBytes) {
			throw new BodyError(`the body is larger than ${maxBytes} bytes`);
		}
		chunks.push(chunk);
	}
	return Buffer.concat(chunks);
}

/** Parses a JSON body. Returns undefined if it is not valid JSON. */
export function parseJson(body: Buffer): unknown {
	try {
		return JSON.parse(body.toString('utf8'));
	} catch {
		return undefined;
	}
}

/** Sends a complete JSON answer. */
export function sendJson(
	response: ServerResponse,
	status: number,
	value: unknown,
	headers: OutgoingHttpHeaders = {},
): void {
	const text = JSON.stringify(value);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...headers,
	});
	response.end(text);
}

/** Returns a query parameter as a whole number, or the default if it is missing or invalid. */
export function getWholeNumber(url: URL, name: string, defaultValue: number): number {
	const text = url.searchParams.get(name);
	return text !== null && /^\d+$/.test(text) ? Number(text) : defaultValue;
}

/** Resolves when the response accepts more data or is closed. */
export function waitForDrain(response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		const finish = (): void => {
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};
		if (response.destroyed || !response.writableNeedDrain) {
			resolve();
			return;
		}
		response.on('drain', finish);
		response.on('close', finish);
	});
}
