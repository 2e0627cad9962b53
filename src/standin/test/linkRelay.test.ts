import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { DisposableStore, toDisposable } from '../../base/common/lifecycle';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { LinkRelay } from '../node/linkRelay';

const owned = new DisposableStore();

afterAll(() => {
	owned.dispose();
});

/** A server that sends back what it gets, and a link before it. */
async function createLinkBeforeEcho(): Promise<{ relay: LinkRelay; port: number; server: Server }> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	owned.add(toDisposable(() => server.close()));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const { port: farPort } = server.address() as AddressInfo;
	const section = {
		listen: { host: '127.0.0.1', port: 0 },
		to: { host: '127.0.0.1', port: farPort },
		one_way_ms: 0,
		megabits_per_second: 10_000,
	};
	const relay = owned.add(new LinkRelay('far', section, owned.add(new SystemTimerService())));
	const address = await relay.open();
	return { relay, port: Number(address.split(':')[1]), server };
}

function createConnection(port: number): Socket {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	owned.add(toDisposable(() => socket.destroy()));
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
	it('passes a mebibyte there and back byte for byte, and the end after it', async () => {
		const { port } = await createLinkBeforeEcho();
		const socket = await openConnection(port);
		const sent = Buffer.from(Array.from({ length: 1_048_576 }, (_, index) => (index * 31) % 251));
		const received: Buffer[] = [];
		socket.on('data', (piece: Buffer) => received.push(piece));
		socket.end(sent);
		await once(socket, 'end');
		expect(Buffer.concat(received).equals(sent)).toBe(true);
	});

	it('resets open connections and refuses new ones when it is cut so', async () => {
		// The route between two regions is withdrawn and routers answer for it. Users see connections break at
		// once, old and new.
		const { relay, port } = await createLinkBeforeEcho();
		const open = await openConnection(port);
		await sendAndReceive(open, 'x');
		const closed = new Promise(resolve => open.on('close', resolve));
		relay.applyFaults({ cut: 'reset' });
		await closed;
		await new Promise(resolve => createConnection(port).on('close', resolve));
		relay.applyFaults({ cut: 'none' });
		expect(await sendAndReceive(await openConnection(port), 'healed')).toBe('healed');
	});

	it('passes nothing in a black hole and goes on when it heals', async () => {
		// Packets between two regions are lost without a word. Whoever waits for an answer hears nothing, no
		// error either, until the link is back and the sender's system sends again.
		const { relay, port } = await createLinkBeforeEcho();
		const socket = await openConnection(port);
		await sendAndReceive(socket, 'before');
		relay.applyFaults({ cut: 'black-hole' });
		const during = await openConnection(port);
		const received: string[] = [];
		for (const each of [socket, during]) {
			each.on('data', (piece: Buffer) => received.push(piece.toString()));
			each.write('held');
		}
		await new Promise(resolve => setTimeout(resolve, 30));
		expect(received).toEqual([]);
		relay.applyFaults({ cut: 'none' });
		await Promise.all([once(socket, 'data'), once(during, 'data')]);
		expect(received).toEqual(['held', 'held']);
	});

	it('silences open connections while new ones work', async () => {
		// A middlebox has restarted and lost its table of connections. Requests on connections from before get
		// no answer and no error; whoever opens a new connection is served.
		const { relay, port } = await createLinkBeforeEcho();
		const silent = await openConnection(port);
		await sendAndReceive(silent, 'before');
		relay.applyFaults({ silenceOpen: true });
		const received: string[] = [];
		silent.on('data', (piece: Buffer) => received.push(piece.toString()));
		silent.write('lost');
		const fresh = await openConnection(port);
		expect(await sendAndReceive(fresh, 'new')).toBe('new');
		expect(await sendAndReceive(fresh, 'again')).toBe('again');
		expect(received).toEqual([]);
		expect(relay.getCounters()).toMatchObject({ silenced: 1, open: 2 });
	});
});
