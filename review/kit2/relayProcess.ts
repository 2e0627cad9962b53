/**
 * A path between machines: relays TCP connections from one loopback port to another, with a bandwidth for each direction that all
 * connections share. While the process is stopped, and the queue of its port is full, the path is cut silently.
 */

import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';

const [listenPort = 0, targetPort = 0, megabitsPerSecond = 0] = process.argv.slice(2).map(Number);
const host = '127.0.0.1';
const bytesPerMsPerMegabitPerSecond = 125;
const bytesPerMs = megabitsPerSecond * bytesPerMsPerMegabitPerSecond;

/** One direction of the path. */
class Direction {
	private freeMs = 0;

	/** Passes bytes on, each chunk once the chunks of all connections before it have been sent. */
	carry(source: Socket, sink: Socket): void {
		source.on('data', (bytes: Buffer) => {
			if (bytesPerMs === 0) {
				sink.write(bytes);
				return;
			}
			const nowMs = performance.now();
			this.freeMs = Math.max(nowMs, this.freeMs) + bytes.byteLength / bytesPerMs;
			source.pause();
			setTimeout(() => {
				sink.write(bytes);
				source.resume();
			}, this.freeMs - nowMs);
		});
		source.on('end', () => {
			sink.end();
		});
	}
}

const forward = new Direction();
const backward = new Direction();

const server = createServer({ noDelay: true, allowHalfOpen: true }, socket => {
	const target = connect({ host, port: targetPort, noDelay: true, allowHalfOpen: true });
	forward.carry(socket, target);
	backward.carry(target, socket);
	socket.on('error', () => {
		target.resetAndDestroy();
	});
	target.on('error', () => {
		socket.resetAndDestroy();
	});
	socket.on('close', () => {
		target.destroySoon();
	});
	target.on('close', () => {
		socket.destroySoon();
	});
});
server.listen({ port: listenPort, host, backlog: 1 }, () => {
	process.stdout.write('listening\n');
});
