import type { TargetId } from '../../../../core/ids/common/ids';
import type { AnswerHead } from '../../../common/callers/answerSink';
import { NativeTargetDialect } from '../../../common/dialect/nativeTargetDialect';
import { AttemptEnd } from '../../../common/scheduling/serviceScheduler';
import type { IAttemptOwner } from '../attemptRun';
import { AttemptRun } from '../attemptRun';
import { createAnswerHead, createEvent, StreamRun, targetFailed } from './streamRuns';

const target = 'bookings-1' as TargetId;
const stream = createAnswerHead();

/** An attempt of a request for a stream, and how it ended. */
interface StartedAttempt {
	readonly attempt: AttemptRun;
	readonly ends: AttemptEnd[];
	/** Why the attempt's connection was closed. */
	readonly closed: string[];
}

/** Starts an attempt whose target has sent a head, if one is given. */
function startAttempt({ run, timers }: StreamRun, head?: AnswerHead): StartedAttempt {
	const ends: AttemptEnd[] = [];
	const closed: string[] = [];
	const owner: IAttemptOwner = {
		findSendRefusal: () => undefined,
		noteHandedOver: () => undefined,
		noteFirstByte: () => undefined,
		noteAnswerHead: () => undefined,
		noteBegun: () => undefined,
		isEndAcceptable: () => true,
		isRetryAllowed: () => true,
		noteSilence: () => false,
		noteEnd: (_, end) => ends.push(end),
	};
	const client = {
		send: () => ({
			resume: () => undefined,
			cancel: (reason: string) => closed.push(reason),
			release: () => undefined,
		}),
		renewConnections: () => undefined,
	};
	const options = { fetchAddress: undefined, observeVersion: () => () => undefined };
	const dialect = new NativeTargetDialect();
	const attempt = new AttemptRun(run, target, 1, options, client, dialect, timers, owner);
	attempt.start();
	attempt.noteHandedOver();
	if (head !== undefined) {
		attempt.receiveHead(head);
	}
	return { attempt, ends, closed };
}

describe('an attempt at a stream', () => {
	// Guards against a request that ends with an attempt although another target can go on after the last whole event.
	it('fails, and leaves the request open, if its framing ends inside an event', () => {
		const streamRun = new StreamRun();
		const { attempt, ends } = startAttempt(streamRun, stream);
		attempt.receiveData(Buffer.from(`${createEvent(1)}id: 2\nda`));
		attempt.noteCompleted();
		expect(ends).toEqual([AttemptEnd.Failed]);
		expect(streamRun.run.hasEnded()).toBe(false);
		expect(streamRun.sink).toMatchObject({ text: createEvent(1), isCut: false, hasEnded: false });
	});

	// Guards against an attempt that is counted twice, and an answer that ends again after it was ended.
	it('ends once, whatever its connection reports after that', () => {
		const { attempt, ends } = startAttempt(new StreamRun(), stream);
		attempt.receiveData(Buffer.from(createEvent(1)));
		attempt.noteCompleted();
		attempt.noteCompleted();
		attempt.noteFailed(new Error('reset'));
		expect(ends).toEqual([AttemptEnd.Answered]);
	});

	// Guards against a target that begins anew and is read on, so that its later events are joined with those before.
	it('fails and closes its connection at events that the caller has', () => {
		const { attempt, ends, closed } = startAttempt(new StreamRun({ lastEventId: '2' }), stream);
		attempt.receiveData(Buffer.from(createEvent(1)));
		attempt.receiveData(Buffer.from(createEvent(3)));
		attempt.noteCompleted();
		expect(ends).toEqual([AttemptEnd.Failed]);
		expect(closed).toHaveLength(1);
	});

	// Guards against an error that is joined with the stream whose head its caller has.
	it('fails, and passes nothing on, if it has another head than that of a stream to go on with', () => {
		const streamRun = new StreamRun();
		streamRun.begin(stream);
		streamRun.write(createEvent(1));
		streamRun.markInterrupted();
		const { attempt, ends } = startAttempt(streamRun, createAnswerHead({ status: 500 }));
		attempt.receiveData(Buffer.from(createEvent(2)));
		attempt.noteCompleted();
		expect(ends).toEqual([AttemptEnd.Failed]);
		expect(streamRun.sink).toMatchObject({ text: createEvent(1), hasEnded: false });
	});

	// Guards against an answer that begins after its attempt was given up, while another target runs the request.
	it('begins no answer once it has ended', () => {
		const streamRun = new StreamRun();
		const { attempt, ends } = startAttempt(streamRun);
		attempt.cancel(targetFailed);
		attempt.receiveHead(stream);
		expect(ends).toEqual([AttemptEnd.Cancelled]);
		expect(streamRun.sink.head).toBeUndefined();
	});

	// Guards against an end that counts as one although a target broke off inside the event after it.
	it.each([
		{
			name: 'fails',
			end: (attempt: AttemptRun) => {
				attempt.noteFailed(new Error('reset'));
			},
		},
		{
			name: 'is cancelled',
			end: (attempt: AttemptRun) => {
				attempt.cancel(targetFailed);
			},
		},
	])('refutes the uncertain end before it if it $name inside an event', ({ end }) => {
		const streamRun = new StreamRun();
		const unframed = createAnswerHead({ isUnframed: true });
		streamRun.begin(unframed);
		streamRun.write(createEvent(1));
		streamRun.run.openEnd.noteEnd(() => true);
		streamRun.markInterrupted();
		const { attempt } = startAttempt(streamRun, unframed);
		attempt.receiveData(Buffer.from('id: 2\nda'));
		expect(streamRun.run.openEnd.isOpen()).toBe(true);
		end(attempt);
		expect(streamRun.run.openEnd.isOpen()).toBe(false);
	});
});
