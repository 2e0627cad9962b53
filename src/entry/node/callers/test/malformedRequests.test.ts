import { once } from 'node:events';
import { Conclusion, contentType, disposeOpened, readConclusion, receiveAll } from './answerEndFixtures';
import { sendToTarget } from './callerServerFixtures';

/** Fewer bytes than a refusal has. */
const length = { name: 'content-length', value: '200' };
const malformed = 'no request\r\n\r\n';
const answers = [
	{ framing: 'a length', version: '1.1', lines: [contentType, length] },
	{ framing: 'chunks', version: '1.1', lines: [contentType] },
	{ framing: 'a length', version: '1.0', lines: [contentType, length] },
	{ framing: 'no framing', version: '1.0', lines: [contentType] },
];

afterEach(() => {
	disposeOpened();
});

describe('a malformed request on the connection of another one', () => {
	// Guards against a refusal that is read as the rest of an answer that has begun, and completes its length.
	it.each(answers)(
		'breaks off an answer that has begun: $framing over HTTP/$version',
		async ({ version, lines }) => {
			const { server, socket, observer } = await sendToTarget(version);
			observer.receiveHead({ status: 200, lines, endsWithConnection: false });
			observer.receiveData(Buffer.from('half'));
			await once(socket, 'readable');
			const received = receiveAll(socket, () => false);
			socket.write(malformed);
			const { text, errorCode } = await received;
			expect(readConclusion({ text, errorCode })).toBe(Conclusion.BrokenOff);
			expect(text).not.toContain('malformed');
			await server.close();
		},
	);

	// Guards against `not-run` for a request that runs.
	it('is not answered in place of one that runs', async () => {
		const { server, fixture, socket } = await sendToTarget('1.1');
		const received = receiveAll(socket, () => false);
		socket.write(malformed);
		expect((await received).text).toBe('');
		await server.close();
		expect(fixture.flow.attempts[0]?.cancelled).toBeDefined();
	});

	it('is refused after an answer that has ended', async () => {
		const { server, socket, observer } = await sendToTarget('1.1');
		observer.receiveHead({ status: 200, lines: [contentType], endsWithConnection: false });
		observer.receiveData(Buffer.from('whole'));
		observer.noteCompleted();
		const received = receiveAll(socket, () => false);
		socket.write(malformed);
		const { text } = await received;
		expect(text).toContain('5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 400 malformed-header');
		socket.end();
		await server.close();
	});
});
