import { ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import { createHandlerFixture } from '../../test/callHandlerFixtures';
import type { CapturedAttempt, CapturingSink } from './flowFixtures';

const contentType = { name: 'content-type', value: 'text/plain' };
const length = { name: 'content-length', value: '4' };

/** An answer of four bytes, and how its target frames it. */
interface AnswerFraming {
	readonly name: string;
	readonly lines: readonly { readonly name: string; readonly value: string }[];
	readonly endsWithConnection: boolean;
}

const unframed: AnswerFraming = {
	name: 'no framing',
	lines: [contentType],
	endsWithConnection: true,
};
const withLength: AnswerFraming = {
	name: 'a length',
	lines: [contentType, length],
	endsWithConnection: false,
};
const inChunks: AnswerFraming = {
	name: 'chunks',
	lines: [contentType],
	endsWithConnection: false,
};
const framings = [unframed, withLength, inChunks];

function beginFramed(attempt: CapturedAttempt, { lines, endsWithConnection }: AnswerFraming): void {
	attempt.observer.noteHandedOver();
	attempt.observer.receiveHead({ status: 200, lines, endsWithConnection });
	attempt.observer.receiveData(Buffer.from('pa'));
}

function finish(attempt: CapturedAttempt): void {
	attempt.observer.receiveData(Buffer.from('id'));
	attempt.observer.noteCompleted();
}

/** What a sink has received, with the framing that its reader is promised. */
function describeAnswer({ head, text, hasEnded, isCut }: CapturingSink): object {
	return {
		text,
		hasEnded,
		isCut,
		hasLength: head?.lines.some(({ name }) => name === 'content-length'),
		endsWithConnection: head?.endsWithConnection === true,
	};
}

function describeWhole({ lines, endsWithConnection }: AnswerFraming): object {
	return {
		text: 'paid',
		hasEnded: true,
		isCut: false,
		hasLength: lines.includes(length),
		endsWithConnection,
	};
}

describe('the answer of an at-most-once request', () => {
	// Guards against an end that only a closed connection shows, and that a repeat of the ticket receives as a framed one.
	it.each(framings)('keeps $name for a repeat of its ticket', framing => {
		const { flow, issue, send } = createHandlerFixture();
		const ticket = issue();
		const first = send(ticket);
		beginFramed(flow.attempts[0]!, framing);
		finish(flow.attempts[0]!);
		const repeats = [send(ticket), send(ticket)];
		expect([first, ...repeats].map(describeAnswer)).toEqual(
			Array.from({ length: 3 }, () => describeWhole(framing)),
		);
		expect(flow.attempts).toHaveLength(1);
	});

	// Guards against an end that only a closed connection shows, and that a waiting request receives as a framed one.
	it.each(framings)('keeps $name for the requests that wait for it', framing => {
		const { flow, issue, send } = createHandlerFixture();
		const ticket = issue();
		const first = send(ticket);
		const joinedEarly = send(ticket);
		beginFramed(flow.attempts[0]!, framing);
		const joinedLate = send(ticket);
		finish(flow.attempts[0]!);
		expect([first, joinedEarly, joinedLate].map(describeAnswer)).toEqual(
			Array.from({ length: 3 }, () => describeWhole(framing)),
		);
	});

	// Guards against a lost framing where the caller leaves during the answer and sends its ticket again.
	it.each(framings)('keeps $name for the repeat of a caller that left', framing => {
		const { flow, issue, send } = createHandlerFixture();
		const ticket = issue();
		const first = send(ticket);
		beginFramed(flow.attempts[0]!, framing);
		first.abandon?.();
		finish(flow.attempts[0]!);
		expect(first.hasEnded).toBe(false);
		expect(describeAnswer(send(ticket))).toEqual(describeWhole(framing));
	});

	// Guards against a part of an answer that is kept as the whole, after its target resets the connection.
	it.each(framings)('with $name is never kept as whole if it breaks off', async framing => {
		const { flow, issue, send } = createHandlerFixture();
		const ticket = issue();
		const first = send(ticket);
		const joined = send(ticket);
		beginFramed(flow.attempts[0]!, framing);
		flow.attempts[0]!.observer.noteFailed(new Error('read ECONNRESET'));
		await flow.waitForPromises();
		const repeat = send(ticket);
		expect(first).toMatchObject({ text: 'pa', hasEnded: false, isCut: true });
		for (const sink of [joined, repeat]) {
			expect(sink).toMatchObject({ head: undefined, text: '', hasEnded: false });
			expect(sink.refusal?.kind).toBe(ErrorKind.TargetFailed);
			expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.Unknown);
		}
		expect(flow.attempts).toHaveLength(1);
	});

	// Guards against a part of an answer that is kept as the whole, when its caller leaves before the target resets the connection.
	it('is never kept as whole if it breaks off after its caller left', async () => {
		const { flow, issue, send } = createHandlerFixture();
		const ticket = issue();
		const first = send(ticket);
		beginFramed(flow.attempts[0]!, inChunks);
		first.abandon?.();
		flow.attempts[0]!.observer.noteFailed(new Error('read ECONNRESET'));
		await flow.waitForPromises();
		const repeat = send(ticket);
		expect(first).toMatchObject({ hasEnded: false, isCut: false });
		expect(repeat).toMatchObject({ head: undefined, text: '', hasEnded: false });
		expect(repeat.refusal && getOutcomeOf(repeat.refusal)).toBe(Outcome.Unknown);
	});
});
