import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { RequestId } from '../../../../core/ids/common/ids';
import { NativeCallerDialect } from '../../../common/dialect/nativeCallerDialect';
import { createKeyDigests } from '../../keys/test/keyDigestFixtures';
import { CallerSink } from '../callerSink';

const uploadBytes = 16_777_216;
/** Simulates a caller that is slow to read the answer. */
const readAfterMs = 150;

async function openRefusingServer(): Promise<Server> {
	const server = createServer((request, response) => {
		const sink = new CallerSink(
			'r-1' as RequestId,
			new NativeCallerDialect(createKeyDigests()),
			request,
			response,
			() => false,
		);
		sink.refuse(createRequestError(ErrorKind.BodyTooLarge, 'at most 8 bytes'));
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	return server;
}

/** Uploads without reading, then reads what has arrived; returns the answer's text or the socket's error. */
async function sendThenRead(port: number): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1');
		socket.pause();
		socket.once('error', error => {
			resolve(error.message);
		});
		socket.write(`POST / HTTP/1.1\r\nhost: entry\r\ncontent-length: ${uploadBytes}\r\n\r\n`);
		socket.write(Buffer.alloc(uploadBytes));
		setTimeout(() => {
			socket.once('data', chunk => {
				resolve(chunk.toString());
				socket.destroy();
			});
			socket.resume();
		}, readAfterMs);
	});
}

type WriteAnswer = (sink: CallerSink) => void;

async function openAnsweringServer(write: WriteAnswer): Promise<Server> {
	const server = createServer((request, response) => {
		write(
			new CallerSink(
				'r-1' as RequestId,
				new NativeCallerDialect(createKeyDigests()),
				request,
				response,
				() => false,
			),
		);
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	return server;
}

/** Returns how the connection ended for a caller: after a regular close, or with the code of an error. */
async function observeEnd(port: number, requestLine: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? error.message);
		});
		socket.on('end', () => {
			resolve('closed');
		});
		socket.resume();
		socket.write(`${requestLine}\r\nhost: entry\r\n\r\n`);
	});
}

const contentType = { name: 'content-type', value: 'text/event-stream' };

describe('CallerSink', () => {
	// Guards against an answer whose end is the end of its connection, and that looks complete when it breaks off.
	it.each([true, false])(
		'resets the connection of an answer that breaks off if the caller reads no chunks (endsWithConnection: %s)',
		async endsWithConnection => {
			const server = await openAnsweringServer(sink => {
				sink.begin({ status: 200, lines: [contentType], endsWithConnection });
				sink.write(Buffer.from('id: 1\ndata: a\n\n'));
				setImmediate(() => {
					sink.cut();
				});
			});
			const { port } = server.address() as AddressInfo;
			expect(await observeEnd(port, 'GET / HTTP/1.0')).toBe('ECONNRESET');
			server.close();
		},
	);

	it('closes the connection in the regular way after a whole answer if the caller reads no chunks', async () => {
		const server = await openAnsweringServer(sink => {
			sink.begin({ status: 200, lines: [contentType], endsWithConnection: true });
			sink.write(Buffer.from('id: 1\ndata: a\n\n'));
			sink.end();
		});
		expect(await observeEnd((server.address() as AddressInfo).port, 'GET / HTTP/1.0')).toBe('closed');
		server.close();
	});

	// Guards against callers that have to open a connection for each answer of a target without framing.
	it('keeps the connection after an answer in chunks that its target sent without framing', async () => {
		const server = await openAnsweringServer(sink => {
			sink.begin({ status: 200, lines: [contentType], endsWithConnection: true });
			sink.write(Buffer.from('half'));
			sink.end();
		});
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		let text = '';
		socket.on('data', chunk => (text += chunk.toString()));
		socket.write('GET / HTTP/1.1\r\nhost: entry\r\n\r\n');
		while (!text.endsWith('0\r\n\r\n')) {
			await once(socket, 'data');
		}
		socket.write('GET / HTTP/1.1\r\nhost: entry\r\n\r\n');
		while (text.split('0\r\n\r\n').length < 3) {
			await once(socket, 'data');
		}
		expect(text.match(/^HTTP\/1.1 200/gm)).toHaveLength(2);
		socket.destroy();
		server.close();
	});

	it('lets a caller that is still uploading read why it was refused', async () => {
		// A caller sends a body that is too large and is refused by its content length. If the connection were
		// closed with the upload unread, the caller would get a broken pipe instead of the refusal.
		const server = await openRefusingServer();
		const text = await sendThenRead((server.address() as AddressInfo).port);
		expect(text).toContain('HTTP/1.1 413');
		expect(text).toContain('"error":"body-too-large","outcome":"not-run"');
		server.close();
		server.closeAllConnections();
	});
});
