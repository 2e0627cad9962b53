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

/** Finds ports that are free at present. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({ length: count }, () => createServer());
	const ports = await Promise.all(servers.map(async server => listenOnFreePort(server)));
	await Promise.all(
		servers.map(
			async server =>
				new Promise<void>(resolve => {
					server.close(() => {
						resolve();
					});
				}),
		),
	);
	return ports;
}

export async function waitFor(delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, delayMs);
	});
}
