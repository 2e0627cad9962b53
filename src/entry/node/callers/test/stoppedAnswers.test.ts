import { once } from 'node:events';
import type { Socket } from 'node:net';
import { contentType, disposeOpened } from './answerEndFixtures';
import { sendToTarget } from './callerServerFixtures';

/** More than the kernel takes for a caller that doesn't read. */
const answerBytes = 8_388_608;
const testTimeoutMs = 30_000;
const length = { name: 'content-length', value: String(answerBytes) };
const answers = [
	{ framing: 'a length', version: '1.1', lines: [contentType, length] },
	{ framing: 'chunks', version: '1.1', lines: [contentType] },
	{ framing: 'a length', version: '1.0', lines: [contentType, length] },
	{ framing: 'no framing', version: '1.0', lines: [contentType] },
];

afterEach(() => {
	disposeOpened();
});

/** Counts the bytes of the body that arrive before the connection ends. */
async function countBodyBytes(socket: Socket): Promise<number> {
	let count = 0;
	socket.on('data', (chunk: Buffer) => {
		count += chunk.filter(byte => byte === 0x7a).byteLength;
	});
	socket.resume();
	await new Promise(resolve => {
		socket.once('end', resolve);
		socket.once('error', resolve);
	});
	return count;
}

describe('an answer that has ended and is not sent completely when its entry stops', () => {
	// Guards against a stopping server that closes the connection of such an answer as idle, which without framing looks whole.
	it.each(answers)(
		'is whole, and its connection is closed then: $framing over HTTP/$version',
		async ({ version, lines }) => {
			const { server, socket, observer } = await sendToTarget(version);
			observer.receiveHead({ status: 200, lines, endsWithConnection: false });
			observer.receiveData(Buffer.alloc(answerBytes, 'z'));
			observer.noteCompleted();
			await once(socket, 'readable');
			const closed = server.close();
			expect(await countBodyBytes(socket)).toBe(answerBytes);
			socket.end();
			await closed;
		},
		testTimeoutMs,
	);
});
