/**
 * Finds free loopback ports for processes that will be started.
 */

import { createServer } from 'node:net';

/**
 * The ports of the search, without `endPort` itself. They are below the range from which Linux
 * picks the local ports of outgoing connections (32768 and up by default). A connection could take a port
 * from that range between the search and the start of a process, or during a restart of the process, which
 * would then sometimes fail to listen.
 */
const minPort = 18_000;
const endPort = 32_000;
const span = endPort - minPort;

/** Where the next search of this process begins. */
let nextOffset = (process.pid * 131) % span;

function isPortFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/**
 * Finds `count` free ports on loopback. The start of the first search depends on the process id, so that
 * concurrent processes begin at different ports; each further one goes on after the ports that the last one found, which
 * may not be in use yet.
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const free: number[] = [];
	for (let step = 0; step < span && free.length < count; step++) {
		const port = minPort + nextOffset;
		nextOffset = (nextOffset + 1) % span;
		if (await isPortFree(port)) {
			free.push(port);
		}
	}
	if (free.length < count) {
		throw new Error(`found only ${free.length} of ${count} free ports`);
	}
	return free;
}
