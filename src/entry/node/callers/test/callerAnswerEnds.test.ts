import { once } from 'node:events';
import { setTimeout } from 'node:timers/promises';
import {
	openServer,
	openSocket,
	receiveAll,
	readConclusion,
	observe,
	isFramedFor,
	createLargeHead,
	writeHalf,
	observeProcessEnd,
	observeHalfClose,
	contentType,
	heads,
	cases,
	framedCases,
	unframedCases,
	Conclusion,
	disposeOpened,
} from './answerEndFixtures';

/** More than the operating system holds for a connection. */
const queuedBytes = 8_388_608;
/** Longer than a connection stays open after a cut whose bytes have been sent. */
const readAfterMs = 300;

afterEach(() => {
	disposeOpened();
});

describe('an answer to a caller', () => {
	it.each(cases)(
		'with $framing over HTTP/$version is whole after its end',
		async ({ framing, head, version }) => {
			const port = await openServer(sink => {
				writeHalf(sink, head, () => {
					sink.write(Buffer.from('half'));
					sink.end();
				});
			});
			const expected = isFramedFor(framing, version) ? Conclusion.FramedWhole : Conclusion.ClosedWhole;
			expect(await observe(port, version)).toBe(expected);
		},
	);

	// Guards against an answer that is cut off and that its caller takes for a whole one.
	it.each(cases)('with $framing over HTTP/$version is broken off after a cut', async ({ head, version }) => {
		const port = await openServer(sink => {
			writeHalf(sink, head, () => {
				sink.cut();
			});
		});
		expect(await observe(port, version)).toBe(Conclusion.BrokenOff);
	});

	// Guards against an early end of a stream that its caller can't tell from a regular one, although half an event would show it.
	it.each(cases)(
		'with $framing over HTTP/$version says whether a cut may look like its end',
		async ({ framing, head, version }) => {
			let isCutHidden: boolean | undefined;
			const port = await openServer(sink => {
				sink.begin(head);
				isCutHidden = sink.isCutHidden();
				sink.write(Buffer.from('half'));
				sink.cut();
			});
			await observe(port, version);
			expect(isCutHidden).toBe(!isFramedFor(framing, version));
		},
	);

	// Guards against a framed answer that a caller takes for a whole one when its entry is killed and the kernel closes the connection.
	it.each(framedCases)(
		'with $framing over HTTP/$version is broken off if the process ends',
		async ({ head, version }) => {
			expect(await observeProcessEnd(head, version)).toBe(Conclusion.BrokenOff);
		},
	);

	/** HTTP/1.0 has no framing that a killed process leaves incomplete, unless the length is known. */
	it.each(unframedCases)(
		'with $framing over HTTP/$version looks whole if the process ends',
		async ({ head, version }) => {
			expect(await observeProcessEnd(head, version)).toBe(Conclusion.ClosedWhole);
		},
	);

	// Guards against an answer that is cut off with bytes in the queue, and that its caller takes for a whole one.
	it.each(cases)(
		'with $framing over HTTP/$version is broken off after a cut with queued bytes',
		async ({ framing, head, version }) => {
			const large = framing === 'a length' ? createLargeHead(queuedBytes * 2) : head;
			const port = await openServer(sink => {
				sink.begin(large);
				expect(sink.write(Buffer.alloc(queuedBytes, 'a'))).toBe(false);
				sink.cut();
			});
			const socket = openSocket(port);
			socket.write(`GET / HTTP/${version}\r\nhost: entry\r\n\r\n`);
			const conclusion = readConclusion(await receiveAll(socket, () => false));
			expect(conclusion).toBe(Conclusion.BrokenOff);
		},
	);

	// Guards against a reset that reaches its caller together with unread bytes, and that the caller takes for a regular close.
	it.each(unframedCases)(
		'with $framing over HTTP/$version is broken off after a cut if its caller reads the queued bytes late',
		async ({ head, version }) => {
			const port = await openServer(sink => {
				sink.begin(head);
				expect(sink.write(Buffer.alloc(queuedBytes, 'a'))).toBe(false);
				sink.cut();
			});
			const socket = openSocket(port);
			socket.write(`GET / HTTP/${version}\r\nhost: entry\r\n\r\n`);
			await setTimeout(readAfterMs);
			expect(readConclusion(await receiveAll(socket, () => false))).toBe(Conclusion.BrokenOff);
		},
	);

	// Guards against a head that is sent with a cut, and whose caller takes it for that of an empty answer.
	it.each(cases)(
		'with $framing over HTTP/$version sends nothing if it is cut before its first byte',
		async ({ head, version }) => {
			const port = await openServer(sink => {
				sink.begin(head);
				sink.cut();
			});
			const socket = openSocket(port);
			socket.write(`GET / HTTP/${version}\r\nhost: entry\r\n\r\n`);
			expect(await receiveAll(socket, () => false)).toMatchObject({ text: '' });
		},
	);

	// Guards against an answer that loses its queued bytes, or its framing, when it ends before its caller has read them.
	it.each(cases)(
		'with $framing over HTTP/$version arrives whole if it ends with queued bytes',
		async ({ framing, head, version }) => {
			const large = framing === 'a length' ? createLargeHead(queuedBytes) : head;
			const port = await openServer(sink => {
				sink.begin(large);
				expect(sink.write(Buffer.alloc(queuedBytes, 'a'))).toBe(false);
				sink.end();
			});
			const socket = openSocket(port);
			socket.write(`GET / HTTP/${version}\r\nhost: entry\r\nconnection: close\r\n\r\n`);
			const received = await receiveAll(socket, () => false);
			const expected = isFramedFor(framing, version) ? Conclusion.FramedWhole : Conclusion.ClosedWhole;
			expect(readConclusion(received)).toBe(expected);
			expect(received.text.match(/a{1000}/g)?.length).toBeGreaterThanOrEqual(8_000);
		},
	);

	// Guards against the entry's close being taken for the end of a framed answer by a caller that ends its own side early.
	it.each(framedCases)(
		'with $framing over HTTP/$version is broken off if its caller ends its side',
		async ({ head, version }) => {
			expect(await observeHalfClose(head, version)).toBe(Conclusion.BrokenOff);
		},
	);

	// Guards against the second of two requests on a connection getting its answer as the rest of one that was cut.
	it.each(heads)('with $framing that is cut is the last of its connection', async ({ head }) => {
		const port = await openServer(
			sink => {
				writeHalf(sink, head, () => {
					sink.cut();
				});
			},
			sink => {
				sink.begin(heads[0]!.head);
				sink.write(Buffer.from('nextnext'));
				sink.end();
			},
		);
		const socket = openSocket(port);
		const two = 'GET / HTTP/1.1\r\nhost: entry\r\n\r\n'.repeat(2);
		socket.write(two);
		const received = await receiveAll(socket, () => false);
		expect(readConclusion(received)).toBe(Conclusion.BrokenOff);
		expect(received.text).not.toContain('next');
	});

	// Guards against a cut of a later answer that ends an answer without framing of its target before it on the same connection.
	it('without framing reaches its caller whole if a later answer is cut', async () => {
		const { head } = heads[2]!;
		let endFirst = (): void => undefined;
		const port = await openServer(
			sink => {
				sink.begin(head);
				sink.write(Buffer.from('half'));
				endFirst = () => {
					sink.write(Buffer.from('half'));
					sink.end();
				};
			},
			sink => {
				sink.begin(heads[1]!.head);
				sink.write(Buffer.from('next'));
				sink.cut();
				setImmediate(endFirst);
			},
		);
		const socket = openSocket(port);
		socket.write('GET / HTTP/1.1\r\nhost: entry\r\n\r\n'.repeat(2));
		const received = await receiveAll(socket, () => false);
		expect(readConclusion(received)).toBe(Conclusion.FramedWhole);
		expect(received.text).toMatch(/4\r\nhalf\r\n4\r\nhalf\r\n0\r\n\r\n$/);
	});

	// Guards against an answer without a body that waits for the end of its connection.
	it.each([
		{ name: 'to HEAD', method: 'HEAD', status: 200 },
		{ name: 'with status 204', method: 'GET', status: 204 },
		{ name: 'with status 304', method: 'GET', status: 304 },
	])('$name has no body and no chunks', async ({ method, status }) => {
		const port = await openServer(sink => {
			sink.begin({ status, lines: [contentType] });
			sink.end();
		});
		const socket = openSocket(port);
		socket.write(`${method} / HTTP/1.1\r\nhost: entry\r\n\r\n`);
		const { text, errorCode } = await receiveAll(socket, received => received.includes('\r\n\r\n'));
		expect(errorCode).toBeUndefined();
		expect(text).toMatch(/\r\n\r\n$/);
		expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
		await once(socket.end(), 'finish');
	});
});
