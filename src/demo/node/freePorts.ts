/**
 * Finds free ports for processes that are to be started.
 */

import { createServer } from 'node:net';

/**
 * Below the range from which Linux picks the local ports of outgoing connections (32768 and up by
 * default). A port out of that range may be taken by a connection between the search and the start of its
 * process, or while the process is being restarted; it would then fail to listen now and then.
 */
const lowestPort = 18_000;
const highestPort = 32_000;

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

/** Finds `count` free ports on loopback, from a start that differs between processes. */
export async function findFreePorts(count: number): Promise<number[]> {
	const span = highestPort - lowestPort;
	const offset = (process.pid * 131) % span;
	const free: number[] = [];
	for (let step = 0; step < span && free.length < count; step++) {
		const port = lowestPort + ((offset + step) % span);
		if (await isPortFree(port)) {
			free.push(port);
		}
	}
	if (free.length < count) {
		throw new Error(`only ${free.length} of ${count} ports are free`);
	}
	return free;
}
