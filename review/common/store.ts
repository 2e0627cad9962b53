/**
 * A small stand-in of the platform's store, as the pages describe it: keys with revisions, listings, and watches that
 * are answered as soon as there is an event. It can fall silent.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { listenOnFreePort } from './ports';

interface StoredItem {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
	readonly create_rev: number;
	readonly lease: number;
}

type StoredEvent = StoredItem | { readonly key: string; readonly revision: number; readonly tombstone: true };

interface PendingWatch {
	readonly prefix: string;
	readonly finish: () => void;
}

export class Store {
	private readonly items = new Map<string, StoredItem>();
	private readonly history: StoredEvent[] = [];
	private readonly watches = new Set<PendingWatch>();
	private revision = 1;
	private isSilent = false;
	private readonly server = createServer((request, response) => {
		this.serve(request, response);
	});

	/** Returns the address, `IP:PORT`. */
	async open(): Promise<string> {
		return `127.0.0.1:${await listenOnFreePort(this.server)}`;
	}

	/** Accepts calls and answers none, until it is set back. Calls that wait stay unanswered, too. */
	setSilent(isSilent: boolean): void {
		this.isSilent = isSilent;
	}

	/** Writes a value as JSON. The time of the return is that of the acknowledgement. */
	put(key: string, value: unknown): void {
		this.revision++;
		const { revision } = this;
		const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
		const item = { key, value: encoded, revision, create_rev: revision, lease: 0 };
		this.items.set(key, item);
		this.recordEvent(item);
	}

	remove(key: string): void {
		if (this.items.delete(key)) {
			this.revision++;
			this.recordEvent({ key, revision: this.revision, tombstone: true });
		}
	}

	private recordEvent(event: StoredEvent): void {
		this.history.push(event);
		for (const watch of [...this.watches]) {
			if (event.key.startsWith(watch.prefix)) {
				watch.finish();
			}
		}
	}

	private serve(request: IncomingMessage, response: ServerResponse): void {
		request.resume();
		if (this.isSilent) {
			return;
		}
		const url = new URL(request.url ?? '/', 'http://store');
		const prefix = url.searchParams.get('path_prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/api/kv-range') {
			const items = [...this.items.values()]
				.filter(({ key }) => key.startsWith(prefix) && key > after)
				.sort((left, right) => (left.key < right.key ? -1 : 1));
			sendJson(response, { items, more_pages: false, store_revision: this.revision });
			return;
		}
		const waitMs = Number(url.searchParams.get('wait_ms') ?? '0');
		this.openWatch({ prefix, after: Number(after), waitMs }, response);
	}

	private openWatch(
		{ prefix, after, waitMs }: { prefix: string; after: number; waitMs: number },
		response: ServerResponse,
	): void {
		const listEvents = (): StoredEvent[] =>
			this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
		const finish = (): void => {
			this.watches.delete(watch);
			clearTimeout(timer);
			if (!this.isSilent) {
				sendJson(response, { events: listEvents(), store_revision: this.revision });
			}
		};
		const timer = setTimeout(finish, waitMs);
		const watch = { prefix, finish };
		this.watches.add(watch);
		response.on('close', () => {
			this.watches.delete(watch);
			clearTimeout(timer);
		});
		if (waitMs === 0 || listEvents().length > 0) {
			finish();
		}
	}
}

function sendJson(response: ServerResponse, body: unknown): void {
	const text = JSON.stringify(body);
	response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
	response.end(text);
}
