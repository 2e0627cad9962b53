import { once } from 'node:events';
import type {
	ClientHttp2Session,
	ClientHttp2Stream,
	Http2Server,
	ServerHttp2Session,
	ServerHttp2Stream,
} from 'node:http2';
import { connect as connectHttp2, createServer as createHttp2Server } from 'node:http2';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SessionDrainer } from '../sessionDrainer';

/** Opens a TCP relay that forwards all data until it is cut; then it discards all data and closes nothing. */
async function openRelay(toPort: number): Promise<{ server: Server; port: number; cut: () => void }> {
	const pairs: (readonly [Socket, Socket])[] = [];
	const server = createServer(near => {
		const far = connect(toPort, '127.0.0.1');
		pairs.push([near, far]);
		near.pipe(far).on('error', () => undefined);
		far.pipe(near).on('error', () => undefined);
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const cut = (): void => {
		for (const [near, far] of pairs) {
			near.unpipe(far).resume();
			far.unpipe(near).resume();
		}
	};
	return { server, port: (server.address() as AddressInfo).port, cut };
}

interface OpenStream {
	readonly server: Http2Server;
	readonly session: ServerHttp2Session;
	readonly client: ClientHttp2Session;
	/** The client's and the server's end of the stream. */
	readonly request: ClientHttp2Stream;
	readonly stream: ServerHttp2Stream;
	readonly relay: Awaited<ReturnType<typeof openRelay>>;
}

/** Opens a server with one session and one stream that has not ended. */
async function openStream(sessions: SessionDrainer): Promise<OpenStream> {
	const server = createHttp2Server(() => undefined);
	server.on('session', opened => {
		sessions.add(opened);
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const relay = await openRelay((server.address() as AddressInfo).port);
	const client = connectHttp2(`http://127.0.0.1:${relay.port}`);
	client.on('error', () => undefined);
	const request = client.request({ ':method': 'POST', ':path': '/' });
	request.on('error', () => undefined).setEncoding('utf8');
	const [session] = (await once(server, 'session')) as [ServerHttp2Session];
	const [stream] = (await once(server, 'stream')) as [ServerHttp2Stream];
	return { server, session, client, relay, request, stream };
}

/** Waits for one ping to be answered. */
async function waitForPing(): Promise<void> {
	await new Promise(resolve => setTimeout(resolve, 50));
}

async function waitForPings(seconds: number, timers: ManualTimerService): Promise<void> {
	for (let second = 0; second < seconds; second++) {
		timers.advance(1_000);
		await waitForPing();
	}
}

describe('SessionDrainer', () => {
	it('destroys the session of an unresponsive peer, and lets the streams of a responsive one finish', async () => {
		// The link to another region drops all packets while this entry is stopping. The stream to that region can
		// never end; without a time limit the process keeps running and has to be killed.
		const timers = new ManualTimerService();
		const drainer = new SessionDrainer(timers);
		const responsive = await openStream(drainer);
		const unresponsive = await openStream(drainer);
		unresponsive.relay.cut();
		drainer.close();
		await waitForPings(12, timers);
		expect(unresponsive.session.destroyed).toBe(true);
		expect(responsive.session.destroyed).toBe(false);
		responsive.stream.respond({ ':status': 200 });
		responsive.stream.end('the complete answer');
		expect(await responsive.request.reduce((text, chunk) => `${text}${String(chunk)}`, '')).toBe(
			'the complete answer',
		);
		drainer.dispose();
		for (const { server, session, client, relay } of [responsive, unresponsive]) {
			session.destroy();
			client.destroy();
			server.close();
			relay.server.close();
		}
	});

	// Guards against a stop that throws and closes nothing because a peer's connection has just broken.
	it('closes the other sessions if one of them is already destroyed', async () => {
		const sessions = new SessionDrainer(new ManualTimerService());
		const { server, client, session, relay } = await openStream(sessions);
		session.destroy();
		expect(() => {
			sessions.close();
		}).not.toThrow();
		sessions.dispose();
		client.destroy();
		relay.server.close();
		server.close();
	});
});
