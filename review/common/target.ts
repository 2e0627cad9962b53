/**
 * A small stand-in of a server, as the pages describe it: it checks `Anvilroad-Expect-Instance`, echoes the request's id,
 * signs its answers, reports its load, and answers its health path. It records what reaches it and what it runs.
 */

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { listenOnFreePort, waitFor } from './ports';

export interface TargetOptions {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly slots: number;
	/** Time until the answer, or until the first event of a stream. */
	readonly runMs: number;
	readonly events?: number;
	readonly eventMs?: number;
	/** Plain answers come in this many pieces, without a length, and end with the connection. */
	readonly unframedPieces?: number;
	readonly pieceMs?: number;
	/** While it is cold, the server crashes if more requests than this arrive in a second. */
	readonly coldCrashPerS?: number;
}

/** A request that the server began to work on. Times are Unix milliseconds. */
export interface Run {
	readonly id: string;
	readonly atMs: number;
	readonly line: string;
	readonly bodyBytes: number;
}

export const healthPath = '/health';

export class Target {
	readonly runs: Run[] = [];
	private readonly sockets = new Set<Socket>();
	private server = this.createServer();
	private port = 0;
	private running = 0;
	private bornMs = Date.now();
	private coldFromMs = 0;
	private coldUntilMs = 0;
	private writes = 0;
	/** When the server crashed because of too many requests. */
	crashedMs: number | undefined;

	constructor(readonly options: TargetOptions) {}

	async open(): Promise<void> {
		this.port = await listenOnFreePort(this.server, this.port);
	}

	/** Ends as by a crash: connections are reset, and the port refuses new ones. */
	async kill(): Promise<void> {
		const { server } = this;
		const closed = new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
		await closed;
	}

	/** Starts again under its id and address. */
	async renew(): Promise<void> {
		this.server = this.createServer();
		this.bornMs = Date.now();
		await this.open();
	}

	/** The server tolerates few requests for this time. Its registration and its health answers tell so. */
	setCold(coldMs: number): void {
		this.coldFromMs = Date.now();
		this.coldUntilMs = this.coldFromMs + coldMs;
	}

	/** Returns what the server writes into the store. */
	describe(state: 'ready' | 'draining' = 'ready'): Record<string, unknown> {
		const { service, zone, slots } = this.options;
		this.writes++;
		return {
			service,
			address: `127.0.0.1:${this.port}`,
			zone,
			version: 'v1',
			slots,
			state,
			cold_left_ms: this.computeColdLeftMs(),
			seq: this.writes,
			born: this.bornMs,
		};
	}

	private computeColdLeftMs(): number {
		return Math.max(0, this.coldUntilMs - Date.now());
	}

	private createServer(): ReturnType<typeof createServer> {
		const server = createServer((request, response) => {
			this.serve(request, response).catch(() => {
				request.socket.destroy();
			});
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', (socket: Socket) => {
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => this.sockets.delete(socket));
		});
		return server;
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		let bodyBytes = 0;
		for await (const chunk of request) {
			bodyBytes += (chunk as Buffer).byteLength;
		}
		const id = request.headers['anvilroad-request-id'];
		const headers: OutgoingHttpHeaders = {
			...(id === undefined ? {} : { 'anvilroad-request-id': id }),
			'anvilroad-instance-id': this.options.id,
			'anvilroad-server-load': `${this.running},0,${this.options.slots}`,
		};
		if (request.method === 'GET' && request.url === healthPath) {
			const coldMs = Math.round(this.computeColdLeftMs());
			response.writeHead(200, { ...headers, 'anvilroad-cold-ms': coldMs, 'content-length': 0 });
			response.end();
			return;
		}
		const refusal = this.findRefusal(request);
		if (refusal !== undefined || typeof id !== 'string') {
			response.writeHead(refusal ?? 400, { ...headers, 'anvilroad-not-run': '1', 'content-length': 0 });
			response.end();
			return;
		}
		const line = `${request.method ?? ''} ${request.url ?? ''}`;
		this.runs.push({ id, atMs: Date.now(), line, bodyBytes });
		this.checkColdRate();
		this.running++;
		try {
			await this.answer(request, response, {
				...headers,
				'anvilroad-server-stamp': `${this.options.id}.${id}`,
			});
		} finally {
			this.running--;
		}
	}

	private checkColdRate(): void {
		const { coldCrashPerS = Number.POSITIVE_INFINITY } = this.options;
		const sinceMs = Math.max(Date.now() - 1_000, this.coldFromMs);
		const arrivals = this.runs.filter(({ atMs }) => atMs > sinceMs).length;
		if (this.computeColdLeftMs() > 0 && arrivals > coldCrashPerS && this.crashedMs === undefined) {
			this.crashedMs = Date.now();
			void this.kill();
		}
	}

	private findRefusal({ headers }: IncomingMessage): number | undefined {
		const expected = headers['anvilroad-expect-instance'];
		if (expected !== undefined && expected !== this.options.id) {
			return 421;
		}
		return this.running >= this.options.slots ? 503 : undefined;
	}

	private async answer(
		request: IncomingMessage,
		response: ServerResponse,
		headers: OutgoingHttpHeaders,
	): Promise<void> {
		const { runMs, unframedPieces } = this.options;
		await waitFor(runMs);
		if (request.headers['anvilroad-token-count'] !== undefined) {
			await this.sendEvents(request, response, headers);
			return;
		}
		if (unframedPieces !== undefined) {
			await this.sendUnframed(response, headers, unframedPieces);
			return;
		}
		const text = `answer of ${this.options.id}`;
		response.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(text) });
		response.end(text);
	}

	private async sendEvents(
		request: IncomingMessage,
		response: ServerResponse,
		headers: OutgoingHttpHeaders,
	): Promise<void> {
		const { events = 6, eventMs = 20 } = this.options;
		response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
		for (let event = 1; event <= events && !request.socket.destroyed; event++) {
			response.write(`id: ${event}\ndata: ${event}\n\n`);
			await waitFor(eventMs);
		}
		response.end();
	}

	private async sendUnframed(
		response: ServerResponse,
		headers: OutgoingHttpHeaders,
		pieces: number,
	): Promise<void> {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		response.writeHead(200, { ...headers, connection: 'close' });
		for (let piece = 1; piece <= pieces; piece++) {
			response.write(`piece ${piece} of ${pieces};`);
			await waitFor(this.options.pieceMs ?? 50);
		}
		response.end();
	}
}
