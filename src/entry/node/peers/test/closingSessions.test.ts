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
import { ClosingSessions } from '../closingSessions';

/** A relay that passes everything on until it is cut; then it swallows all and closes nothing. */
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
	/** The two ends of the stream. */
	readonly request: ClientHttp2Stream;
	readonly stream: ServerHttp2Stream;
	readonly relay: Awaited<ReturnType<typeof openRelay>>;
}

/** A server with one session, on which one stream waits for its end. */
async function openStream(sessions: ClosingSessions): Promise<OpenStream> {
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

/** Lets one ping go there and back. */
async function waitForPing(): Promise<void> {
	await new Promise(resolve => setTimeout(resolve, 50));
}

async function waitForAsks(seconds: number, timers: ManualTimerService): Promise<void> {
	for (let second = 0; second < seconds; second++) {
		timers.advance(1_000);
		await waitForPing();
	}
}

describe('ClosingSessions', () => {
	it('ends a session whose peer fell silent, and leaves a living one to its streams', async () => {
		// The link to another region swallows everything while this entry is told to stop. The stream to that
		// region can never end; without a bound the process stays and has to be killed.
		const timers = new ManualTimerService();
		const closing = new ClosingSessions(timers);
		const living = await openStream(closing);
		const silent = await openStream(closing);
		silent.relay.cut();
		closing.close();
		await waitForAsks(12, timers);
		expect(silent.session.destroyed).toBe(true);
		expect(living.session.destroyed).toBe(false);
		living.stream.respond({ ':status': 200 });
		living.stream.end('the whole answer');
		expect(await living.request.reduce((text, chunk) => `${text}${String(chunk)}`, '')).toBe(
			'the whole answer',
		);
		closing.dispose();
		for (const { server, session, client, relay } of [living, silent]) {
			session.destroy();
			client.destroy();
			server.close();
			relay.server.close();
		}
	});
});
