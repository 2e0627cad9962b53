/**
 * Destroys the sockets of a closing server after a time limit. An HTTP/2 session that has ended waits for the client
 * to close its side of the connection, and a client that no longer uses it may never do so. Without a limit the
 * server never finishes closing, the process keeps running after its last request, and operators have to kill it
 * during a planned stop.
 */

import type { Socket } from 'node:net';
import type { ITimerService } from '../../../base/common/timerService';

/**
 * Time between the end of the sending side and the destruction of the socket, in milliseconds. Far longer than a
 * round trip between regions, so that the client has received the last answer by then.
 */
export const lingerMs = 2_000;

/** Tracks open sockets, and after `endAfterLinger` destroys each one that has sent all its data. */
export class LingeringSockets {
	private readonly sockets = new Set<Socket>();

	constructor(private readonly timers: ITimerService) {}

	add(socket: Socket): void {
		this.sockets.add(socket);
		socket.once('close', () => this.sockets.delete(socket));
	}

	/** From now on, destroys each socket when `lingerMs` have passed since its sending side ended. */
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
