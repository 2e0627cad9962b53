import fc from 'fast-check';
import type { HeaderLine } from '../../../common/callers/callHead';
import type { IAttemptObserver } from '../../targets/targetClient';
import { contentType, disposeOpened, openServer, openSocket, receiveAll } from './answerEndFixtures';
import { answerDirectly, answerOverForward } from './plainAnswerPath';

/** More by hand: DRAWS=20000. */
const answers = Number(process.env.DRAWS ?? 400);
const seed = Number(process.env.SEED ?? 31);
const answersAtOnce = 25;
const timeoutMs = 600_000;

interface PlainAnswer {
	readonly method: string;
	readonly version: string;
	readonly status: number;
	readonly body: string;
	readonly framing: 'length' | 'chunks' | 'none';
	/** The byte after which the target resets its connection; undefined if it sends all. */
	readonly resetAfter: number | undefined;
	readonly pieceBytes: number;
	readonly isForwarded: boolean;
}

const anyAnswer: fc.Arbitrary<PlainAnswer> = fc
	.record({
		method: fc.constantFrom('GET', 'GET', 'GET', 'HEAD'),
		version: fc.constantFrom('1.1', '1.1', '1.0'),
		status: fc.constantFrom(200, 200, 200, 201, 404, 500, 206, 204, 304),
		body: fc.string({ maxLength: 40, unit: fc.constantFrom('a', '0', '\r', '\n', '{', ' ') }),
		framing: fc.constantFrom<PlainAnswer['framing']>('length', 'chunks', 'none'),
		resetAfter: fc.option(fc.nat({ max: 45 }), { nil: undefined }),
		pieceBytes: fc.integer({ min: 1, max: 45 }),
		isForwarded: fc.boolean(),
	})
	.filter(isJudgeable);

/** A reset is all that shows a caller of HTTP/1.0 the cut of an answer without a length; `callerAnswerEnds` has these cases. */
function isJudgeable({ version, framing, resetAfter }: PlainAnswer): boolean {
	return version === '1.1' || framing === 'length' || resetAfter === undefined;
}

function hasBody({ method, status }: PlainAnswer): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** What the target sends in the end; all of it if it does not reset its connection before. */
function findSentBody(answer: PlainAnswer): string {
	return hasBody(answer) ? answer.body.slice(0, answer.resetAfter) : '';
}

/** An answer without a body is whole with its head. With chunks, the last one is still to come after all bytes. */
function isWhole(answer: PlainAnswer): boolean {
	const { body, framing, resetAfter } = answer;
	if (resetAfter === undefined || !hasBody(answer)) {
		return true;
	}
	return framing === 'length' && resetAfter >= body.length;
}

function sendAnswer(answer: PlainAnswer, observer: IAttemptObserver): void {
	const lines: HeaderLine[] = [contentType];
	if (answer.framing === 'length' && answer.status !== 204) {
		lines.push({ name: 'content-length', value: String(answer.body.length) });
	}
	const endsWithConnection = answer.framing === 'none' && hasBody(answer);
	observer.receiveHead({ status: answer.status, lines, endsWithConnection });
	const sent = findSentBody(answer);
	for (let start = 0; start < sent.length; start += answer.pieceBytes) {
		observer.receiveData(Buffer.from(sent.slice(start, start + answer.pieceBytes)));
	}
	if (isWhole(answer)) {
		observer.noteCompleted();
		return;
	}
	observer.noteFailed(new Error('read ECONNRESET'));
}

interface PlainResult {
	readonly body: string;
	readonly isWhole: boolean;
}

/** Reads what the caller's connection got as far as its framing says. */
function readAnswer(answer: PlainAnswer, text: string, errorCode: string | undefined): PlainResult {
	const headEnd = text.indexOf('\r\n\r\n');
	const head = text.slice(0, Math.max(0, headEnd)).toLowerCase();
	const rest = text.slice(headEnd + '\r\n\r\n'.length);
	if (headEnd < 0 || !hasBody(answer)) {
		return { body: rest, isWhole: headEnd >= 0 };
	}
	const length = /content-length: (\d+)/.exec(head)?.[1];
	if (length !== undefined) {
		return { body: rest, isWhole: rest.length === Number(length) };
	}
	return head.includes('transfer-encoding: chunked')
		? readChunks(rest)
		: { body: rest, isWhole: errorCode === undefined };
}

function readChunks(text: string): PlainResult {
	let body = '';
	let rest = text;
	for (;;) {
		const size = /^([0-9a-f]+)\r\n/.exec(rest);
		const bytes = Number.parseInt(size?.[1] ?? '', 16);
		if (size === null || bytes === 0) {
			return { body, isWhole: rest === '0\r\n\r\n' };
		}
		const start = size[0].length;
		body += rest.slice(start, start + bytes);
		rest = rest.slice(start + bytes + '\r\n'.length);
	}
}

async function receive(answer: PlainAnswer): Promise<PlainResult> {
	const port = await openServer(sink => {
		const send = (observer: IAttemptObserver): void => {
			sendAnswer(answer, observer);
		};
		if (answer.isForwarded) {
			void answerOverForward(answer.method, sink, send);
			return;
		}
		answerDirectly(answer.method, sink, send);
	});
	const socket = openSocket(port);
	socket.write(`${answer.method} / HTTP/${answer.version}\r\nhost: entry\r\nconnection: close\r\n\r\n`);
	const { text, errorCode } = await receiveAll(socket, () => false);
	return readAnswer(answer, text, errorCode);
}

/** Returns what is wrong with what the caller got, or undefined. */
function findWrong(answer: PlainAnswer, result: PlainResult): string | undefined {
	const sent = findSentBody(answer);
	const isRight = isWhole(answer)
		? result.isWhole && result.body === sent
		: !result.isWhole && sent.startsWith(result.body);
	return isRight ? undefined : `${JSON.stringify(answer)}: ${JSON.stringify(result)}`;
}

describe('plain answers that are random, direct and over a forward', () => {
	afterEach(() => {
		disposeOpened();
	});

	// Guards against a part of an answer that its caller takes for the whole, and against whole answers that are cut.
	it(
		'are whole for the caller where they are at the target, and broken off where they are not',
		async () => {
			const drawn = fc.sample(anyAnswer, { numRuns: answers, seed });
			const wrong: string[] = [];
			for (let start = 0; start < drawn.length; start += answersAtOnce) {
				const batch = drawn.slice(start, start + answersAtOnce);
				const results = await Promise.all(batch.map(receive));
				wrong.push(...batch.flatMap((answer, index) => findWrong(answer, results[index]!) ?? []));
				disposeOpened();
			}
			expect(wrong).toEqual([]);
		},
		timeoutMs,
	);
});
