/**
 * A stand-in for a plain server of the deployment. It registers itself in the store, renews the registration, and writes one
 * line to its standard output for each request that it runs.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, request as sendRequest } from 'node:http';

interface ServerOptions {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly port: number;
	/** The port at which the server is registered, if a path leads to it. */
	readonly publicPort?: number;
	readonly storePort: number;
	readonly slots: number;
	readonly runMs: number;
	/** Events of a whole stream, each after this time; without events, answers are plain. */
	readonly events?: number;
	readonly eventMs?: number;
	/** Pieces of an answer without a length, each after this time. */
	readonly pieces?: number;
	readonly pieceMs?: number;
	/** How long the server still runs after a notice (SIGUSR2). */
	readonly noticeMs?: number;
}

const options = JSON.parse(process.argv[2] ?? '{}') as ServerOptions;
const heartbeatMs = 1_200;
const leaseHeartbeats = 3;
const idleTimeoutMs = 60_000;
const born = Date.now();
let seq = 0;
let running = 0;
let endsMs: number | undefined;

function putRegistration(): void {
	const { id, service, zone, port, publicPort = port, slots, storePort } = options;
	seq++;
	const path = `/standin/put?key=servers/${id}&lease_ms=${heartbeatMs * leaseHeartbeats}`;
	const text = JSON.stringify({
		service,
		address: `127.0.0.1:${publicPort}`,
		zone,
		version: 'v1',
		slots,
		state: endsMs === undefined ? 'ready' : 'draining',
		...(endsMs === undefined ? {} : { remaining_ms: Math.max(0, endsMs - Date.now()) }),
		cold_left_ms: 0,
		seq,
		born,
	});
	const call = sendRequest({ host: '127.0.0.1', port: storePort, path, method: 'POST' }, answer => {
		answer.resume();
	});
	call.on('error', () => undefined);
	call.end(text);
}

function createHeaders(request: IncomingMessage): Record<string, string> {
	return {
		'anvilroad-request-id': String(request.headers['anvilroad-request-id'] ?? ''),
		'anvilroad-instance-id': options.id,
		'anvilroad-server-load': `${running},0,${options.slots}`,
	};
}

function refuse(request: IncomingMessage, response: ServerResponse, status: number): void {
	response.writeHead(status, { ...createHeaders(request), 'anvilroad-not-run': '1', 'content-length': 0 });
	response.end();
}

/** Sends an answer without a length, which ends with its connection. */
function sendPieces(request: IncomingMessage, response: ServerResponse, id: string): void {
	const { pieces = 0, pieceMs = 0 } = options;
	response.useChunkedEncodingByDefault = false;
	response.writeHead(200, {
		...createHeaders(request),
		'anvilroad-server-stamp': `${options.id}.${id}`,
		connection: 'close',
	});
	let piece = 0;
	const timer = setInterval(() => {
		piece++;
		response.write(`piece ${piece} of ${pieces}\n`);
		if (piece >= pieces || response.destroyed) {
			clearInterval(timer);
			running--;
			response.end();
		}
	}, pieceMs);
}

/** Streams the events after the one that the caller has, and stops as soon as its connection closes. */
function streamEvents(request: IncomingMessage, response: ServerResponse, id: string): void {
	const { events = 0, eventMs = 0 } = options;
	let event = Number(request.headers['last-event-id'] ?? 0);
	response.writeHead(200, {
		...createHeaders(request),
		'anvilroad-server-stamp': `${options.id}.${id}`,
		'content-type': 'text/event-stream',
	});
	const finish = (reason: string): void => {
		clearInterval(timer);
		running--;
		process.stdout.write(
			`${JSON.stringify({ ended: id, at: Date.now(), server: options.id, event, reason })}\n`,
		);
	};
	const timer = setInterval(() => {
		if (response.destroyed) {
			finish('its connection is closed');
			return;
		}
		event++;
		response.write(`id: ${event}\ndata: token-${event}\n\n`);
		if (event >= events) {
			response.end();
			finish('whole');
		}
	}, eventMs);
}

function serve(request: IncomingMessage, response: ServerResponse, bodyBytes: number): void {
	const id = String(request.headers['anvilroad-request-id'] ?? '');
	if (request.url === '/health') {
		response.writeHead(200, { ...createHeaders(request), 'content-length': 0 });
		response.end();
		return;
	}
	const expected = request.headers['anvilroad-expect-instance'];
	if (id === '' || (expected !== undefined && expected !== options.id)) {
		refuse(request, response, id === '' ? 400 : 421);
		return;
	}
	if (running >= options.slots) {
		refuse(request, response, 503);
		return;
	}
	running++;
	process.stdout.write(
		`${JSON.stringify({ ran: id, at: Date.now(), server: options.id, method: request.method, url: request.url, bodyBytes })}\n`,
	);
	if (options.pieces !== undefined) {
		sendPieces(request, response, id);
		return;
	}
	if (options.events !== undefined) {
		streamEvents(request, response, id);
		return;
	}
	setTimeout(() => {
		running--;
		const text = `answer to ${id}`;
		response.writeHead(200, {
			...createHeaders(request),
			'anvilroad-server-stamp': `${options.id}.${id}`,
			'content-length': Buffer.byteLength(text),
		});
		response.end(text);
	}, options.runMs);
}

const server = createServer((request, response) => {
	let bodyBytes = 0;
	request.on('data', (chunk: Buffer) => {
		bodyBytes += chunk.byteLength;
	});
	request.on('error', () => undefined);
	response.on('error', () => undefined);
	request.on('end', () => {
		serve(request, response, bodyBytes);
	});
});
server.keepAliveTimeout = idleTimeoutMs;
server.listen({ port: options.port, host: '127.0.0.1' }, () => {
	process.stdout.write('listening\n');
	putRegistration();
	setInterval(putRegistration, heartbeatMs);
});
process.on('SIGUSR2', () => {
	endsMs = Date.now() + (options.noticeMs ?? 0);
	putRegistration();
});
