/**
 * A stand-in for the platform's store: `GET /api/kv-range` and `GET /api/kv-watch`, and below `/standin/` the calls with which
 * the operator and the servers write. An item with a lease is removed when its writer has been silent for the lease.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

interface Item {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
	readonly create_rev: number;
	readonly lease: number;
}

interface Watch {
	readonly prefix: string;
	readonly after: number;
	readonly response: ServerResponse;
	readonly timer: NodeJS.Timeout;
}

type StoreEvent = Item | { readonly key: string; readonly revision: number; readonly tombstone: true };

const items = new Map<string, Item>();
const history: StoreEvent[] = [];
const watches = new Set<Watch>();
const leases = new Map<string, NodeJS.Timeout>();
const maxWaitMs = 30_000;
let revision = 1;

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	response.end(text);
}

function listEvents({ prefix, after }: Pick<Watch, 'prefix' | 'after'>): StoreEvent[] {
	return history.filter(event => event.key.startsWith(prefix) && event.revision > after);
}

function answerWatch(watch: Watch): void {
	watches.delete(watch);
	clearTimeout(watch.timer);
	sendJson(watch.response, 200, { events: listEvents(watch), store_revision: revision });
}

function recordEvent(event: StoreEvent): void {
	history.push(event);
	for (const watch of [...watches]) {
		if (event.key.startsWith(watch.prefix)) {
			answerWatch(watch);
		}
	}
}

function removeItem(key: string): void {
	if (items.delete(key)) {
		revision++;
		recordEvent({ key, revision, tombstone: true });
	}
}

function putItem(key: string, bytes: Buffer, leaseMs: number): void {
	revision++;
	const item: Item = {
		key,
		value: bytes.toString('base64'),
		revision,
		create_rev: items.get(key)?.create_rev ?? revision,
		lease: 0,
	};
	items.set(key, item);
	recordEvent(item);
	clearTimeout(leases.get(key));
	leases.delete(key);
	if (leaseMs > 0) {
		leases.set(
			key,
			setTimeout(() => {
				removeItem(key);
			}, leaseMs),
		);
	}
}

function openWatch(query: URLSearchParams, response: ServerResponse): void {
	const waitMs = Math.min(maxWaitMs, Number(query.get('wait_ms') ?? 0));
	const watch: Watch = {
		prefix: query.get('path_prefix') ?? '',
		after: Number(query.get('after') ?? 0),
		response,
		timer: setTimeout(() => {
			answerWatch(watch);
		}, waitMs),
	};
	watches.add(watch);
	response.on('close', () => {
		watches.delete(watch);
		clearTimeout(watch.timer);
	});
	if (listEvents(watch).length > 0) {
		answerWatch(watch);
	}
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}
	return Buffer.concat(chunks);
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const body = await readBody(request);
	const url = new URL(request.url ?? '/', 'http://store');
	const query = url.searchParams;
	switch (url.pathname) {
		case '/api/kv-range': {
			const prefix = query.get('path_prefix') ?? '';
			const found = [...items.values()].filter(
				({ key }) => key.startsWith(prefix) && key > (query.get('after') ?? ''),
			);
			found.sort((left, right) => (left.key < right.key ? -1 : 1));
			sendJson(response, 200, { items: found, more_pages: false, store_revision: revision });
			return;
		}
		case '/api/kv-watch':
			openWatch(query, response);
			return;
		case '/standin/put':
			putItem(query.get('key') ?? '', body, Number(query.get('lease_ms') ?? 0));
			sendJson(response, 200, { revision });
			return;
		case '/standin/remove':
			removeItem(query.get('key') ?? '');
			sendJson(response, 200, { revision });
			return;
		default:
			sendJson(response, 404, {});
	}
}

const server = createServer((request, response) => {
	serve(request, response).catch(() => {
		request.socket.destroy();
	});
});
server.keepAliveTimeout = 60_000;
server.listen(Number(process.argv[2]), '127.0.0.1', () => {
	process.stdout.write('listening\n');
});
