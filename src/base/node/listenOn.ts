/**
 * Opens the port of a server.
 */

import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';

/** Gives the address in use, which tells the port where 0 was asked for; rejects where it cannot be had. */
export async function listenOn(
	server: Server,
	address: Pick<AddressInfo, 'port'> & { readonly host: string },
): Promise<AddressInfo> {
	server.listen(address.port, address.host);
	await once(server, 'listening');
	return server.address() as AddressInfo;
}
