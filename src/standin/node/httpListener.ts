/**
 * An HTTP server that can simulate a crash of its process: it resets all open connections, closes its port, and can
 * listen on the same port again later.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { IDisposable } from '../../base/common/lifecycle';
import { listenOn } from '../../base/node/listenOn';
import type { ListenAddress } from '../../core/settings/common/settingsTypes';

/** Answers a request. If the promise is rejected, the connection is reset. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Owns a listening port and its accepted connections. */
export class HttpListener implements IDisposable {
	private readonly sockets = new Set<Socket>();
	private server: Server | undefined;
	private port: number;

	constructor(
		private readonly address: ListenAddress,
		private readonly handle: RequestHandler,
	) {
		this.port = address.port;
	}

	/** Starts to listen and returns the base URL. A reopened listener uses the same port as before. */
	async open(): Promise<string> {
		const server = createServer((request, response) => {
			void this.runHandler(request, response);
		});
		server.on('connection', socket => {
			this.registerConnection(socket);
		});
		this.server = server;
		const { port } = await listenOn(server, { host: this.address.host, port: this.port });
		this.port = port;
		const host = this.address.host.includes(':') ? `[${this.address.host}]` : this.address.host;
		return `http://${host}:${this.port}`;
	}

	/** Resets all open connections. New ones are still accepted. */
	closeConnections(): void {
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Closes the port and resets all open connections. */
	close(): void {
		this.server?.close();
		this.server = undefined;
		this.closeConnections();
	}

	dispose(): void {
		this.close();
	}

	private registerConnection(socket: Socket): void {
		socket.setNoDelay(true);
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => this.sockets.delete(socket));
	}

	private async runHandler(request: IncomingMessage, response: ServerResponse): Promise<void> {
		response.on('error', () => undefined);
		request.on('error', () => undefined);
		try {
			await this.handle(request, response);
		} catch {
			request.socket.resetAndDestroy();
		}
	}
}
