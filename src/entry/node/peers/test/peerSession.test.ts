import type { Http2Server } from 'node:http2';
import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { PeerSession } from '../peerSession';

async function openServer(): Promise<Http2Server> {
	const server = createServer((_, response) => {
		response.end('ok');
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	return server;
}

describe('PeerSession', () => {
	it('handles an error that its session emits after the library has abandoned it', async () => {
		// A link fails silently, the ping to a peer times out, and the session emits that error again after it was
		// abandoned. An unhandled error would end the process and interrupt callers that did not use the link.
		const server = await openServer();
		const { port } = server.address() as AddressInfo;
		const peer = new PeerSession(`http://127.0.0.1:${port}`);
		const stream = await peer.request('GET', '/', {}, {});
		const session = stream.session!;
		stream.on('error', () => undefined);
		const closed = new Promise(resolve => session.once('close', resolve));
		session.destroy();
		await closed;
		peer.abort();
		expect(session.emit('error', new Error('PING timed out'))).toBe(true);
		server.close();
	});
});
