/**
 * Small parts of an HTTP exchange that all stand-ins share: where a request points, its body, JSON answers.
 */

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';

const largestBody = 64 * 1_048_576;

/** Thrown for a body that is larger than a stand-in takes or that ends early. */
export class BodyError extends Error {}

/** The URL of a request; its origin has no meaning. */
export function parseTarget(request: IncomingMessage): URL {
	return new URL(request.url ?? '/', 'http://standin.invalid');
}

/** The one value of a header, or undefined where it is missing. */
export function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Reads a whole body. */
export async function readBody(request: IncomingMessage, mostBytes = largestBody): Promise<Buffer> {
	const pieces: Buffer[] = [];
	let length = 0;
	for await (const piece of request as AsyncIterable<Buffer>) {
		length += piece.length;
		if (length > mostBytes) {
			throw new BodyError(`the body is larger than ${mostBytes} bytes`);
		}
		pieces.push(piece);
	}
	return Buffer.concat(pieces);
}

/** Parses a JSON body; undefined stands for text that is not JSON. */
export function parseJson(body: Buffer): unknown {
	try {
		return JSON.parse(body.toString('utf8'));
	} catch {
		return undefined;
	}
}

/** Sends a whole JSON answer. */
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

/** A whole number from a query, or the default where it is missing or none. */
export function getWholeNumber(url: URL, name: string, whenMissing: number): number {
	const text = url.searchParams.get(name);
	return text !== null && /^\d+$/.test(text) ? Number(text) : whenMissing;
}

/** Resolves when the response takes more bytes, or is closed. */
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
