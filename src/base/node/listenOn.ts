/**
 * Starts a server on a port and waits until it listens.
 */

import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';

/**
 * Returns the address in use, which contains the assigned port if port 0 was requested. Rejects if the address is not
 * available.
 */
export async function listenOn(
	server: Server,
	address: Pick<AddressInfo, 'port'> & { readonly host: string },
): Promise<AddressInfo> {
	server.listen(address.port, address.host);
	await once(server, 'listening');
	return server.address() as AddressInfo;
}
