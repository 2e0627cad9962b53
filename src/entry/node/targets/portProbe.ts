/**
 * Opens a new connection to a target and closes it again, to learn whether its port accepts connections.
 */

import { connect } from 'node:net';

/** What became of the connection. */
export enum PortState {
	Open = 'open',
	/** No process listens, or something on the way refuses the connection. */
	Closed = 'closed',
	/** Nothing answered in time. */
	Silent = 'silent',
}

/** Kept short because a caller is waiting. A target that has not accepted by then may be slow or unreachable. */
const connectTimeoutMs = 300;

/** Error codes of a connection to a port that no process listens on. */
const portClosedCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);

export async function probePort({ hostname, port }: URL): Promise<PortState> {
	return new Promise(resolve => {
		const socket = connect({ host: hostname, port: Number(port), timeout: connectTimeoutMs });
		const finish = (state: PortState): void => {
			socket.destroy();
			resolve(state);
		};
		socket.once('connect', () => {
			finish(PortState.Open);
		});
		socket.once('timeout', () => {
			finish(PortState.Silent);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(portClosedCodes.has(error.code ?? '') ? PortState.Closed : PortState.Silent);
		});
	});
}

/** Probes all of these ports at once and counts those that accept connections. */
export async function probePorts(urls: readonly URL[]): Promise<{ probed: number; reached: number }> {
	const states = await Promise.all(urls.map(probePort));
	return { probed: states.length, reached: states.filter(state => state === PortState.Open).length };
}
