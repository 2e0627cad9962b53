/**
 * Test fixtures: a server that answers through caller sinks, and what a caller on a bare socket can conclude from an answer.
 */

import type { IncomingMessage } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import type { IDisposable } from '../../../../base/common/lifecycle';
import { toDisposable } from '../../../../base/common/lifecycle';
import type { RequestId } from '../../../../core/ids/common/ids';
import type { AnswerHead } from '../../../common/callers/answerSink';
import { NativeCallerDialect } from '../../../common/dialect/nativeCallerDialect';
import { createKeyDigests } from '../../keys/test/keyDigestFixtures';
import { CallerSink } from '../callerSink';

/** The servers and sockets of the current test; the fixtures of each test release them. */
export const opened = new Set<IDisposable>();

export function disposeOpened(): void {
	for (const disposable of opened) {
		disposable.dispose();
	}
	opened.clear();
}

/** What a caller can conclude from the bytes and from the end of its connection. */
export enum Conclusion {
	/** A length or a last chunk shows that the answer is whole. */
	FramedWhole = 'framed as whole',
	/** The answer has no framing, and its connection ends regularly. */
	ClosedWhole = 'closed regularly without framing',
	/** The end of the connection comes before that of the framing, or is an error. */
	BrokenOff = 'broken off',
}

interface ReceivedBytes {
	readonly text: string;
	readonly errorCode: string | undefined;
}

type HandleAnswer = (sink: CallerSink, request: IncomingMessage) => void;

/** Opens a server that hands each request to the next handler. */
export async function openServer(...handlers: HandleAnswer[]): Promise<number> {
	const server = createServer((request, response) => {
		const dialect = new NativeCallerDialect(createKeyDigests());
		const sink = new CallerSink('r-1' as RequestId, dialect, request, response, () => false);
		handlers.shift()?.(sink, request);
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	opened.add(
		toDisposable(() => {
			server.close();
			server.closeAllConnections();
		}),
	);
	return (server.address() as AddressInfo).port;
}

export function openSocket(port: number): Socket {
	const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
	opened.add(
		toDisposable(() => {
			socket.destroy();
		}),
	);
	return socket;
}

/** Reads until the connection ends, or until the bytes are enough for the caller. */
export async function receiveAll(
	socket: Socket,
	isEnough: (text: string) => boolean,
): Promise<ReceivedBytes> {
	return new Promise(resolve => {
		let text = '';
		socket.on('data', (chunk: Buffer) => {
			text += chunk.toString();
			if (isEnough(text)) {
				resolve({ text, errorCode: undefined });
			}
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			resolve({ text, errorCode: error.code });
		});
		socket.once('end', () => {
			resolve({ text, errorCode: undefined });
		});
	});
}

export function isFramedWhole(text: string): boolean {
	const [head = '', ...rest] = text.split('\r\n\r\n');
	const body = rest.join('\r\n\r\n');
	const length = /content-length: (\d+)/i.exec(head)?.[1];
	if (length !== undefined) {
		return body.length >= Number(length);
	}
	return /transfer-encoding: chunked/i.test(head) && /(^|\r\n)0\r\n\r\n$/.test(body);
}

export function readConclusion({ text, errorCode }: ReceivedBytes): Conclusion {
	if (isFramedWhole(text)) {
		return Conclusion.FramedWhole;
	}
	const isFramed = /content-length: |transfer-encoding: /i.test(text);
	return isFramed || errorCode !== undefined || text === '' ? Conclusion.BrokenOff : Conclusion.ClosedWhole;
}

export async function observe(
	port: number,
	version: string,
	change?: (socket: Socket) => void,
): Promise<Conclusion> {
	const socket = openSocket(port);
	socket.write(`GET / HTTP/${version}\r\nhost: entry\r\n\r\n`);
	const received = receiveAll(socket, isFramedWhole);
	change?.(socket);
	return readConclusion(await received);
}

export const contentType = { name: 'content-type', value: 'text/plain' };
export const heads: readonly { readonly framing: string; readonly head: AnswerHead }[] = [
	{
		framing: 'a length',
		head: { status: 200, lines: [contentType, { name: 'content-length', value: '8' }] },
	},
	{ framing: 'chunks', head: { status: 200, lines: [contentType] } },
	{ framing: 'no framing', head: { status: 200, lines: [contentType], endsWithConnection: true } },
];

const versions = ['1.1', '1.0'];
export const cases = versions.flatMap(version => heads.map(entry => ({ ...entry, version })));

export function isFramedFor(framing: string, version: string): boolean {
	return framing === 'a length' || version === '1.1';
}

export function createLargeHead(bytes: number): AnswerHead {
	return { status: 200, lines: [contentType, { name: 'content-length', value: String(bytes) }] };
}

export const framedCases = cases.filter(({ framing, version }) => isFramedFor(framing, version));
export const unframedCases = cases.filter(({ framing, version }) => !isFramedFor(framing, version));

/** Writes one half, and continues in a later turn of the event loop. */
export function writeHalf(sink: CallerSink, head: AnswerHead, continueAnswer: () => void): void {
	sink.begin(head);
	sink.write(Buffer.from('half'));
	setImmediate(continueAnswer);
}

/** The kernel closes a connection in the regular way when its process ends. */
export async function observeProcessEnd(head: AnswerHead, version: string): Promise<Conclusion> {
	const port = await openServer((sink, request) => {
		writeHalf(sink, head, () => {
			request.socket.destroy();
		});
	});
	return observe(port, version);
}

export async function observeHalfClose(head: AnswerHead, version: string): Promise<Conclusion> {
	const port = await openServer(sink => {
		sink.watchAbandoned(() => undefined);
		sink.begin(head);
		sink.write(Buffer.from('half'));
	});
	return observe(port, version, socket => {
		socket.once('data', () => {
			socket.end();
		});
	});
}
