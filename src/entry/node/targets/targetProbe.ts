/**
 * Asks a target whether it is there, without a caller's request. Always on a new connection: an idle one
 * may be silent for good while new ones work.
 */

import { connect } from 'node:net';
import { Client } from 'undici';
import { headers } from '../../../platform/headers/common/headers';

/** What a target said to a probe. */
export interface ProbeAnswer {
	readonly isLeaving: boolean;
	/** Whether it wants the connection closed after the answer. */
	readonly isClosing: boolean;
}

const probeTimeoutMs = 2_000;
/** A port that does not refuse in this time belongs to a host that is slow or cut off, not to a dead target. */
const refusalTimeoutMs = 500;

/** Whether a `Connection` header asks for the connection to be closed. */
export function isClosing(connection: string | undefined): boolean {
	return (
		connection
			?.toLowerCase()
			.split(',')
			.some(option => option.trim() === 'close') ?? false
	);
}

/** The target's answer, or undefined where none came in time. */
export async function probeTarget(url: string): Promise<ProbeAnswer | undefined> {
	const client = new Client(new URL(url).origin);
	try {
		const answer = await client.request({
			path: '/',
			method: 'HEAD',
			headersTimeout: probeTimeoutMs,
			signal: AbortSignal.timeout(probeTimeoutMs),
		});
		await answer.body.dump();
		return {
			isLeaving: answer.headers[headers.targetLeaving] === '1',
			isClosing: isClosing(String(answer.headers.connection ?? '')),
		};
	} catch {
		return undefined;
	} finally {
		void client.destroy();
	}
}

/** Whether the host answers that nobody listens on the port. */
export async function isPortRefused(url: string): Promise<boolean> {
	const { hostname, port, protocol } = new URL(url);
	const usualPort = protocol === 'https:' ? 443 : 80;
	return new Promise(resolve => {
		const socket = connect({ host: hostname, port: port === '' ? usualPort : Number(port) });
		const finish = (isRefused: boolean): void => {
			socket.destroy();
			resolve(isRefused);
		};
		socket.setTimeout(refusalTimeoutMs, () => {
			finish(false);
		});
		socket.once('connect', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
	});
}
