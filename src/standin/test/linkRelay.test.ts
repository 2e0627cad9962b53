import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { DisposableStore, toDisposable } from '../../base/common/lifecycle';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { LinkRelay } from '../node/linkRelay';

const disposables = new DisposableStore();

afterAll(() => {
	disposables.dispose();
});

/** Starts an echo server and a link that relays connections to it. */
async function createLinkToEchoServer(): Promise<{ relay: LinkRelay; port: number; server: Server }> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	disposables.add(toDisposable(() => server.close()));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const { port: serverPort } = server.address() as AddressInfo;
	const section = {
		listen: { host: '127.0.0.1', port: 0 },
		to: { host: '127.0.0.1', port: serverPort },
		one_way_ms: 0,
		megabits_per_second: 10_000,
	};
	const relay = disposables.add(new LinkRelay('far', section, disposables.add(new SystemTimerService())));
	const address = await relay.open();
	return { relay, port: Number(address.split(':')[1]), server };
}

function createConnection(port: number): Socket {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	disposables.add(toDisposable(() => socket.destroy()));
	return socket;
}

async function openConnection(port: number): Promise<Socket> {
	const socket = createConnection(port);
	await once(socket, 'connect');
	return socket;
}

async function sendAndReceive(socket: Socket, text: string): Promise<string> {
	socket.write(text);
	const [answer] = (await once(socket, 'data')) as [Buffer];
	return answer.toString();
}

describe('LinkRelay', () => {
	it('relays one mebibyte in both directions unchanged, followed by the end of the stream', async () => {
		const { port } = await createLinkToEchoServer();
		const socket = await openConnection(port);
		const sent = Buffer.from(Array.from({ length: 1_048_576 }, (_, index) => (index * 31) % 251));
		const received: Buffer[] = [];
		socket.on('data', (chunk: Buffer) => received.push(chunk));
		socket.end(sent);
		await once(socket, 'end');
		expect(Buffer.concat(received).equals(sent)).toBe(true);
	});

	it('resets open and new connections while the cut is a reset', async () => {
		// Simulates a withdrawn route between two regions, where routers reject the traffic. Existing and new
		// connections fail immediately.
		const { relay, port } = await createLinkToEchoServer();
		const open = await openConnection(port);
		await sendAndReceive(open, 'x');
		const closed = new Promise(resolve => open.on('close', resolve));
		relay.applyFaults({ cut: 'reset' });
		await closed;
		await new Promise(resolve => createConnection(port).on('close', resolve));
		relay.applyFaults({ cut: 'none' });
		expect(await sendAndReceive(await openConnection(port), 'healed')).toBe('healed');
	});

	it('holds back data during a black hole and delivers it afterwards', async () => {
		// Simulates silent packet loss between two regions. Clients get neither an answer nor an error until the
		// link works again and the sender's operating system retransmits.
		const { relay, port } = await createLinkToEchoServer();
		const socket = await openConnection(port);
		await sendAndReceive(socket, 'before');
		relay.applyFaults({ cut: 'black-hole' });
		const during = await openConnection(port);
		const received: string[] = [];
		for (const each of [socket, during]) {
			each.on('data', (chunk: Buffer) => received.push(chunk.toString()));
			each.write('held');
		}
		await new Promise(resolve => setTimeout(resolve, 30));
		expect(received).toEqual([]);
		relay.applyFaults({ cut: 'none' });
		await Promise.all([once(socket, 'data'), once(during, 'data')]);
		expect(received).toEqual(['held', 'held']);
	});

	it('discards the data of open connections while new ones work', async () => {
		// Simulates a middlebox that has restarted and lost its connection table. Requests on earlier connections
		// get neither an answer nor an error. Requests on new connections are answered.
		const { relay, port } = await createLinkToEchoServer();
		const silent = await openConnection(port);
		await sendAndReceive(silent, 'before');
		relay.applyFaults({ silenceOpen: true });
		const received: string[] = [];
		silent.on('data', (chunk: Buffer) => received.push(chunk.toString()));
		silent.write('lost');
		const fresh = await openConnection(port);
		expect(await sendAndReceive(fresh, 'new')).toBe('new');
		expect(await sendAndReceive(fresh, 'again')).toBe('again');
		expect(received).toEqual([]);
		expect(relay.getCounters()).toMatchObject({ silenced: 1, open: 2 });
	});
});
