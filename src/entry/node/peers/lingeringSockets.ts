/**
 * The sockets of a server that is closing. An HTTP/2 session that has ended waits for the other side to
 * close its end too, and a client that has lost interest in the connection may never do so. Without a bound
 * the server's close never ends and the process stays for ever after its last request, which an operator
 * sees as a planned stop that has to be killed.
 */

import type { Socket } from 'node:net';
import type { ITimerService } from '../../../base/common/timerService';

/**
 * Time between the end of what this side sends and the end of the socket, in milliseconds. Far above a
 * round trip between regions, so that the other side has read the last answer by then.
 */
export const lingerMs = 2_000;

/** Follows open sockets and, once told so, ends each that has nothing left to send. */
export class LingeringSockets {
	private readonly sockets = new Set<Socket>();

	constructor(private readonly timers: ITimerService) {}

	add(socket: Socket): void {
		this.sockets.add(socket);
		socket.once('close', () => this.sockets.delete(socket));
	}

	/** From now on a socket whose sending side has ended is destroyed after the linger. */
	endAfterLinger(): void {
		for (const socket of this.sockets) {
			if (socket.writableFinished) {
				this.scheduleEnd(socket);
			} else {
				socket.once('finish', () => {
					this.scheduleEnd(socket);
				});
			}
		}
	}

	private scheduleEnd(socket: Socket): void {
		this.timers.schedule(lingerMs, () => {
			socket.destroy();
		});
	}
}
