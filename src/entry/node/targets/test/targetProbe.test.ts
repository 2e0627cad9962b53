import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { isTargetDead } from '../targetProbe';

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
	const isDead = await isTargetDead(`http://127.0.0.1:${port}`);
	for (const socket of sockets) {
		socket.destroy();
	}
	server.close();
	return isDead;
}

describe('isTargetDead', () => {
	it('takes a refused port, and a relay that closes at once, for a death', async () => {
		// A crashing request has just ended its target. If the death is not noticed because something before
		// the target still accepts connections, the request is given one target after the other.
		const closed = await openServer(() => undefined);
		const { port } = closed.address() as AddressInfo;
		await new Promise(resolve => closed.close(resolve));
		expect(await isTargetDead(`http://127.0.0.1:${port}`)).toBe(true);
		expect(await probeServer(socket => socket.destroy())).toBe(true);
		expect(await probeServer(socket => socket.resetAndDestroy())).toBe(true);
	});

	it('takes neither an answer nor silence for one', async () => {
		// A target that lives has dropped one connection, or the way to it is cut. Whoever was in flight there
		// would be under suspicion for no reason.
		const answer = 'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n';
		expect(await probeServer(socket => socket.end(answer))).toBe(false);
		expect(await probeServer(() => undefined)).toBe(false);
	});
});
