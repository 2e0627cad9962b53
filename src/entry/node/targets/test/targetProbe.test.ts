import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { isTargetDown } from '../targetProbe';

async function openServer(serve: (socket: Socket) => void): Promise<Server> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		serve(socket);
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	return server;
}

async function probeServer(serve: (socket: Socket) => void): Promise<boolean> {
	const sockets = new Set<Socket>();
	const server = await openServer(socket => {
		sockets.add(socket);
		serve(socket);
	});
	const { port } = server.address() as AddressInfo;
	const isDown = await isTargetDown(`http://127.0.0.1:${port}`);
	for (const socket of sockets) {
		socket.destroy();
	}
	server.close();
	return isDown;
}

describe('isTargetDead', () => {
	it('reports a refused connection, and a relay that closes at once, as down', async () => {
		// A request has just crashed its target. If the crash goes unnoticed because a relay in front of the
		// target still accepts connections, the request is retried on one target after another.
		const closed = await openServer(() => undefined);
		const { port } = closed.address() as AddressInfo;
		await new Promise(resolve => closed.close(resolve));
		expect(await isTargetDown(`http://127.0.0.1:${port}`)).toBe(true);
		expect(await probeServer(socket => socket.destroy())).toBe(true);
		expect(await probeServer(socket => socket.resetAndDestroy())).toBe(true);
	});

	it('reports neither an answer nor a missing answer as down', async () => {
		// A running target has dropped one connection, or the network path to it is interrupted. The requests
		// in flight there must not be suspected of crashing it.
		const answer = 'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n';
		expect(await probeServer(socket => socket.end(answer))).toBe(false);
		expect(await probeServer(() => undefined)).toBe(false);
	});
});
