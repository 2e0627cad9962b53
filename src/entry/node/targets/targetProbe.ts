/**
 * Probes a target independently of callers' requests. Each probe opens a new connection, because an idle
 * connection can stay unresponsive forever while new ones work.
 */

import { Client } from 'undici';
import { headers } from '../../../core/headers/common/headers';

/** The relevant parts of a target's answer to a probe. */
export interface ProbeAnswer {
	/** Whether the target announced that it is shutting down. */
	readonly isLeaving: boolean;
	/** Whether the target asked to close the connection after this answer. */
	readonly isClosingConnection: boolean;
}

const probeTimeoutMs = 2_000;
/** Kept short because a caller is waiting. A target that has not answered by then may be slow or unreachable. */
const downProbeTimeoutMs = 500;
/** Error codes of a connection that was refused, reset, or closed before an answer. */
const connectionClosedCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'ECONNRESET',
	'EPIPE',
	'UND_ERR_SOCKET',
]);

/** Whether a `Connection` header asks for the connection to be closed. */
export function hasCloseOption(connection: string | undefined): boolean {
	return (
		connection
			?.toLowerCase()
			.split(',')
			.some(option => option.trim() === 'close') ?? false
	);
}

/** Sends a probe and returns the target's answer, or undefined if none arrived in time. */
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
			isClosingConnection: hasCloseOption(String(answer.headers.connection ?? '')),
		};
	} catch {
		return undefined;
	} finally {
		void client.destroy();
	}
}

/**
 * Whether the target is down: a new connection is refused, or is accepted and then closed before an answer,
 * as a TCP relay does when its upstream refuses the connection. A target that does not answer in time may be
 * slow or unreachable and does not count as down. A relay that loses its own connection cannot be
 * distinguished from a crashed target behind it. Requests in flight there are then isolated from each other
 * for a while, and are refused only if it happens to them twice.
 */
export async function isTargetDown(url: string): Promise<boolean> {
	const client = new Client(new URL(url).origin);
	try {
		const answer = await client.request({
			path: '/',
			method: 'HEAD',
			signal: AbortSignal.timeout(downProbeTimeoutMs),
		});
		await answer.body.dump();
		return false;
	} catch (error) {
		return connectionClosedCodes.has((error as NodeJS.ErrnoException).code ?? '');
	} finally {
		void client.destroy();
	}
}
