/**
 * Free ports on the loopback address.
 */

import type { Server } from 'node:net';
import { createServer } from 'node:net';

/** Lets a server listen on a port, any free one if it is 0, and returns the port. */
export async function listenOnFreePort(server: Server, port = 0): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	const address = server.address();
	if (address === null || typeof address === 'string') {
		throw new Error('the server listens on no port');
	}
	return address.port;
}

/** Below the range from which the system takes ports for connections, so that none takes the port of an entry that is down. */
const firstPort = 21_000;
const portRange = 10_000;

/** Finds ports that are free at present. */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports = new Set<number>();
	while (ports.size < count) {
		const port = firstPort + Math.floor(Math.random() * portRange);
		if (await isFree(port)) {
			ports.add(port);
		}
	}
	return [...ports];
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	try {
		await listenOnFreePort(server, port);
	} catch {
		return false;
	}
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	return true;
}

export async function waitFor(delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, delayMs);
	});
}
