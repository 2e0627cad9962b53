/**
 * A server on the loopback that tests put in the place of an engine or the platform.
 */

import type { RequestListener } from 'node:http';
import { createServer } from 'node:http';
import type { DisposableStore } from '../../base/common/lifecycle';
import { toDisposable } from '../../base/common/lifecycle';
import { listenOn } from '../../base/node/listenOn';

/** Gives the server's URL; it is closed with its owner. */
export async function openServer(owner: DisposableStore, answer: RequestListener): Promise<string> {
	const server = createServer(answer);
	owner.add(
		toDisposable(() => {
			server.close();
			server.closeAllConnections();
		}),
	);
	const { port } = await listenOn(server, { host: '127.0.0.1', port: 0 });
	return `http://127.0.0.1:${port}`;
}
