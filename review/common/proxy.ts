/**
 * A TCP proxy that can swallow all bytes, as a partition does, and can limit the rate of a link.
 */

import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { listenOnFreePort } from './ports';

export class Proxy {
	private isCut = false;

	/**
	 * @param port Where the proxy connects to.
	 * @param bytesPerMs The rate from clients to that port; unlimited if it isn't given.
	 */
	constructor(
		private readonly port: number,
		private readonly bytesPerMs = Number.POSITIVE_INFINITY,
	) {}

	/** Returns the address of the proxy, `IP:PORT`. */
	async open(): Promise<string> {
		const server = createServer(client => {
			this.join(client);
		});
		return `127.0.0.1:${await listenOnFreePort(server)}`;
	}

	/** From now on nothing passes, and no connection is closed. */
	cut(): void {
		this.isCut = true;
	}

	private join(client: Socket): void {
		const server = connect(this.port, '127.0.0.1');
		this.carry(client, server, this.bytesPerMs);
		this.carry(server, client, Number.POSITIVE_INFINITY);
	}

	private carry(from: Socket, to: Socket, bytesPerMs: number): void {
		from.on('data', chunk => {
			if (this.isCut) {
				return;
			}
			to.write(chunk);
			if (Number.isFinite(bytesPerMs)) {
				from.pause();
				setTimeout(() => {
					from.resume();
				}, chunk.byteLength / bytesPerMs);
			}
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			if (!this.isCut) {
				to.destroy();
			}
		});
	}
}
