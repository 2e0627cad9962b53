/**
 * Every way in which a target's answer can end: how its length is told, what part of it arrives, how the connection ends
 * after that, and whether the observer reads at that time.
 */

import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { AnswerHead } from '../../../common/callers/answerSink';
import type { IAttempt, IAttemptObserver } from '../targetClient';
import { TargetClient } from '../targetClient';

/** What tells the end of an answer, by section 6.3 of RFC 9112. */
enum Boundary {
	Head = 'head',
	Length = 'length',
	LastChunk = 'last chunk',
	Close = 'close',
	/** The length is told twice, so the answer has to be rejected. */
	Invalid = 'invalid',
}

interface Framing {
	readonly name: string;
	readonly boundary: Boundary;
	readonly method: string;
	readonly head: string;
}

enum Part {
	Whole = 'all bytes',
	Extra = 'all bytes and another answer',
	BetweenEvents = 'bytes up to the end of an event',
	InsideEvent = 'bytes up to the middle of an event',
	InsideChunkHeader = 'bytes up to the middle of a chunk header',
	InsideTrailers = 'bytes up to the trailers',
}

enum Close {
	None = 'no close',
	Regular = 'a regular close',
	HalfClose = 'a half-close',
	Reset = 'a reset',
	ResetAfterEnd = 'a half-close and a reset',
}

enum Moment {
	SameTurn = 'in the same turn',
	Later = 'some turns later',
	/** The observer pauses at the first event; the rest arrives before it resumes. */
	Paused = 'while the observer pauses at the first event',
	/** The observer pauses at each piece of data. */
	PausedAtEach = 'while the observer pauses at each piece',
}

interface Ending {
	readonly part: Part;
	readonly close: Close;
	readonly moment: Moment;
}

const events = ['data: 1\n\n', 'data: 2\n\n'] as const;
const body = events.join('');
const extraAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno';

function createFraming(
	name: string,
	boundary: Boundary,
	headers: string[],
	statusLine = 'HTTP/1.1 200 OK',
): Framing {
	return { name, boundary, method: 'GET', head: [statusLine, ...headers, '', ''].join('\r\n') };
}

function listFramings(): readonly Framing[] {
	const length = `content-length: ${body.length}`;
	const chunked = 'transfer-encoding: chunked';
	const close = 'connection: close';
	const oldStatusLine = 'HTTP/1.0 200 OK';
	return [
		createFraming('a length', Boundary.Length, [length]),
		createFraming('a length, Connection: close', Boundary.Length, [length, close]),
		createFraming('a length, HTTP/1.0', Boundary.Length, [length], oldStatusLine),
		createFraming('chunks', Boundary.LastChunk, [chunked]),
		createFraming('chunks, Connection: close', Boundary.LastChunk, [chunked, close]),
		createFraming('chunks, HTTP/1.0', Boundary.LastChunk, [chunked], oldStatusLine),
		createFraming('chunks, in capitals', Boundary.LastChunk, ['Transfer-Encoding: Chunked']),
		createFraming('gzip and chunks', Boundary.LastChunk, ['transfer-encoding: gzip, chunked']),
		createFraming('gzip and chunks in two lines', Boundary.LastChunk, ['transfer-encoding: gzip', chunked]),
		createFraming('no length', Boundary.Close, []),
		createFraming('no length, Connection: close', Boundary.Close, [close]),
		createFraming('no length, Connection: keep-alive', Boundary.Close, ['connection: keep-alive']),
		createFraming('no length, HTTP/1.0', Boundary.Close, [], oldStatusLine),
		createFraming('Transfer-Encoding: identity', Boundary.Close, ['transfer-encoding: identity']),
		createFraming('Transfer-Encoding: gzip', Boundary.Close, ['transfer-encoding: gzip']),
		createFraming('chunks inside of gzip', Boundary.Close, ['transfer-encoding: chunked, gzip']),
		createFraming('chunks inside of gzip in two lines', Boundary.Close, [chunked, 'transfer-encoding: gzip']),
		createFraming('an empty Transfer-Encoding', Boundary.Close, ['transfer-encoding:']),
		createFraming('a length and chunks', Boundary.Invalid, [length, chunked]),
		createFraming('a length and gzip', Boundary.Invalid, [length, 'transfer-encoding: gzip']),
		createFraming('the same length twice', Boundary.Invalid, [length, length]),
		createFraming('two lengths', Boundary.Invalid, [length, 'content-length: 9']),
		createFraming('status 204', Boundary.Head, [], 'HTTP/1.1 204 No Content'),
		createFraming('status 304', Boundary.Head, [], 'HTTP/1.1 304 Not Modified'),
		createFraming('status 204, Connection: close', Boundary.Head, [close], 'HTTP/1.1 204 No Content'),
		{ ...createFraming('HEAD', Boundary.Head, []), method: 'HEAD' },
		{ ...createFraming('HEAD with a length', Boundary.Head, [length]), method: 'HEAD' },
		{ ...createFraming('HEAD with chunks', Boundary.Head, [chunked]), method: 'HEAD' },
	];
}

function listEndings({ boundary }: Framing): readonly Ending[] {
	const hasBody = boundary !== Boundary.Head;
	const parts = Object.values(Part).filter(part => {
		const isInChunks = part === Part.InsideChunkHeader || part === Part.InsideTrailers;
		const isTruncated = part !== Part.Whole && part !== Part.Extra;
		return isInChunks ? boundary === Boundary.LastChunk : hasBody || !isTruncated;
	});
	const moments = hasBody ? Object.values(Moment) : [Moment.SameTurn, Moment.Later];
	const closes = [Close.Regular, Close.HalfClose, Close.Reset, Close.ResetAfterEnd];
	const endings = parts.flatMap(part =>
		closes.flatMap(close => moments.map(moment => ({ part, close, moment }))),
	);
	const isOpenAfterwards = boundary !== Boundary.Close && boundary !== Boundary.Invalid;
	return isOpenAfterwards
		? [...endings, { part: Part.Whole, close: Close.None, moment: Moment.SameTurn }]
		: endings;
}

function encodeEvent({ boundary }: Framing, event: string): string {
	return boundary === Boundary.LastChunk ? `${event.length.toString(16)}\r\n${event}\r\n` : event;
}

interface AnswerBytes {
	/** The head and the first event. */
	readonly beginning: string;
	readonly rest: string;
}

function encodeAnswer(framing: Framing, part: Part): AnswerBytes {
	const [first, second] = events.map(event => encodeEvent(framing, event)) as [string, string];
	const isChunked = framing.boundary === Boundary.LastChunk;
	const lastChunk = isChunked ? '0\r\n' : '';
	const whole = isChunked ? `${second}${lastChunk}\r\n` : second;
	const rests: Record<Part, string> = {
		[Part.Whole]: whole,
		[Part.Extra]: whole + extraAnswer,
		[Part.BetweenEvents]: '',
		[Part.InsideEvent]: second.slice(0, second.indexOf('data') + 4),
		[Part.InsideChunkHeader]: second.slice(0, 1),
		[Part.InsideTrailers]: second + lastChunk,
	};
	if (framing.boundary === Boundary.Head) {
		return { beginning: framing.head, rest: part === Part.Extra ? extraAnswer : '' };
	}
	return { beginning: framing.head + first, rest: rests[part] };
}

function isCompleted({ boundary }: Framing, { part, close }: Ending): boolean {
	switch (boundary) {
		case Boundary.Invalid:
			return false;
		case Boundary.Head:
			return true;
		case Boundary.Close:
			return close !== Close.Reset;
		default:
			return part === Part.Whole || part === Part.Extra;
	}
}

/** The body of a completed answer: for one that ends with its connection, all bytes before the close. */
function readWhole(framing: Framing, { part }: Ending): string {
	if (framing.boundary !== Boundary.Close) {
		return body;
	}
	const { beginning, rest } = encodeAnswer(framing, part);
	return beginning.slice(framing.head.length) + rest;
}

async function waitForTurns(): Promise<void> {
	for (let turn = 0; turn < 10; turn++) {
		await new Promise(resolve => setImmediate(resolve));
	}
}

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

/** Accepts one request at a time and leaves the bytes of its answer to the test. */
async function openTarget(): Promise<{ readonly origin: string; readonly asked: Promise<Socket> }> {
	let noteAsked: (socket: Socket) => void = () => undefined;
	const asked = new Promise<Socket>(resolve => {
		noteAsked = resolve;
	});
	const server = createServer({ allowHalfOpen: true }, socket => {
		owned.add(toDisposable(() => socket.destroy()));
		socket.on('error', () => undefined);
		socket.once('data', () => {
			noteAsked(socket);
		});
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	owned.add(toDisposable(() => server.close()));
	return { origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, asked };
}

class RecordingObserver implements IAttemptObserver {
	head: AnswerHead | undefined;
	data = '';
	readonly ends: string[] = [];
	readonly paused: Promise<void>;
	readonly ended: Promise<void>;
	private notePaused: () => void = () => undefined;
	private noteEnded: () => void = () => undefined;

	constructor(private readonly moment: Moment) {
		this.paused = new Promise(resolve => {
			this.notePaused = resolve;
		});
		this.ended = new Promise(resolve => {
			this.noteEnded = resolve;
		});
	}

	noteHandedOver(): void {
		this.head = undefined;
	}

	receiveHead(head: AnswerHead): void {
		this.head = head;
	}

	receiveData(chunk: Uint8Array): boolean {
		const isFirst = this.data === '';
		this.data += Buffer.from(chunk).toString();
		this.notePaused();
		return this.moment === Moment.Paused ? !isFirst : this.moment !== Moment.PausedAtEach;
	}

	noteCompleted(): void {
		this.ends.push('completed');
		this.noteEnded();
	}

	noteFailed(error: Error): void {
		this.ends.push(`failed: ${error.message}`);
		this.noteEnded();
	}
}

function closeSocket(socket: Socket, close: Close): void {
	switch (close) {
		case Close.None:
			return;
		case Close.Regular:
			socket.destroySoon();
			return;
		case Close.HalfClose:
			socket.end();
			return;
		case Close.Reset:
			socket.resetAndDestroy();
			return;
		case Close.ResetAfterEnd:
			socket.end(() => {
				socket.resetAndDestroy();
			});
	}
}

async function resumeUntilEnd(attempt: IAttempt, observer: RecordingObserver): Promise<void> {
	for (let round = 0; round < 5; round++) {
		await waitForTurns();
		attempt.resume();
	}
	await observer.ended;
}

async function observeEnding(framing: Framing, ending: Ending): Promise<RecordingObserver> {
	const { origin, asked } = await openTarget();
	const client = new TargetClient(origin, new ManualTimerService());
	const observer = new RecordingObserver(ending.moment);
	const request = { method: framing.method, path: '/', lines: [], body: new Uint8Array() };
	const attempt = client.send(request, observer);
	const socket = await asked;
	const { beginning, rest } = encodeAnswer(framing, ending.part);
	if (ending.moment === Moment.SameTurn) {
		socket.write(beginning + rest);
	} else {
		socket.write(beginning);
		await Promise.race([observer.paused, observer.ended, waitForTurns()]);
		socket.write(rest);
	}
	if (ending.moment === Moment.Later) {
		await waitForTurns();
	}
	closeSocket(socket, ending.close);
	await resumeUntilEnd(attempt, observer);
	await client.close();
	return observer;
}

/** A reset discards what has arrived and is not read yet, so an answer that is complete may fail under it. */
function isAllowedToFail({ close, moment }: Ending): boolean {
	return close === Close.Reset && moment !== Moment.Later;
}

describe.each(listFramings())('an answer with $name', framing => {
	// Guards against truncated answers that are taken for complete, and against a close that is passed on as a certain end.
	it.each(listEndings(framing))('$part, then $close $moment', async ending => {
		const { ends, data, head } = await observeEnding(framing, ending);
		expect(ends).toHaveLength(1);
		const isComplete = isCompleted(framing, ending);
		const wasCompleted = ends[0] === 'completed';
		expect({ wasCompleted, data }).toEqual({
			wasCompleted: isComplete && !(isAllowedToFail(ending) && !wasCompleted),
			data: wasCompleted && framing.boundary !== Boundary.Head ? readWhole(framing, ending) : data,
		});
		expect(head?.endsWithConnection ?? false).toBe(head !== undefined && framing.boundary === Boundary.Close);
	});
});
