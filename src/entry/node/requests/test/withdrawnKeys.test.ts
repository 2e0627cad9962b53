import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { openStartGate } from '../../../common/intake/test/startGates';
import { knownKey, ScriptedKeys, withdrawnWithinMs } from '../../../common/keys/test/scriptedKeys';
import type { Flow } from './flowFixtures';
import { beginAnswer, createFlow } from './flowFixtures';

const slots = 8;

function createKeyFlow(targets = 1): { flow: Flow; keys: ScriptedKeys } {
	const keys = new ScriptedKeys();
	const flow = createFlow(targets, RepeatRule.Idempotent, undefined, undefined, openStartGate, keys);
	return { flow, keys };
}

describe('a request with a key', () => {
	// Guards against a send by knowledge that became too old while the request waited in the queue.
	it('is refused on leaving the queue if the knowledge became too old meanwhile', () => {
		const { flow, keys } = createKeyFlow();
		const sinks = Array.from({ length: slots + 1 }, () => flow.submit('work', undefined, knownKey));
		expect(flow.attempts).toHaveLength(slots);
		keys.ageMs = withdrawnWithinMs;
		keys.nextReadInMs = 300;
		flow.attempts[0]!.observer.noteHandedOver();
		expect(flow.attempts[0]!.cancelled).toBeDefined();
		expect(flow.attempts).toHaveLength(slots);
		expect(sinks.at(-1)?.refusal).toMatchObject({ kind: ErrorKind.KeyUnconfirmed, retryAfterMs: 300 });
	});

	// Guards against a send with a key that a newer manifest no longer has.
	it('is refused on leaving the queue if its key was withdrawn meanwhile', () => {
		const { flow, keys } = createKeyFlow();
		const sinks = Array.from({ length: slots + 1 }, () => flow.submit('work', undefined, knownKey));
		flow.attempts[0]!.observer.noteHandedOver();
		keys.isWithdrawn = true;
		beginAnswer(flow.attempts[0]!, 'done');
		flow.attempts[0]!.observer.noteCompleted();
		expect(flow.attempts).toHaveLength(slots);
		expect(sinks[0]).toMatchObject({ text: 'done', hasEnded: true });
		expect(sinks.at(-1)?.refusal?.kind).toBe(ErrorKind.KeyUnknown);
	});

	// Guards against a second send after the key was withdrawn, and against `not-run` for a request that may have run.
	it('is not sent again if its key was withdrawn during the first attempt', async () => {
		const { flow, keys } = createKeyFlow(2);
		const sink = flow.submit('work', undefined, knownKey);
		flow.attempts[0]!.observer.noteHandedOver();
		keys.isWithdrawn = true;
		flow.attempts[0]!.observer.noteFailed(new Error('connection reset'));
		await flow.waitForPromises();
		flow.timers.advance(1_000);
		expect(flow.attempts).toHaveLength(1);
		expect(sink.refusal).toMatchObject({ kind: ErrorKind.KeyUnknown, isOutcomeUnknown: true });
	});

	// Guards against a first byte that is written after a long wait for a connection, or after the process was stopped.
	it.each(['too old', 'withdrawn'])(
		'is not written if its key is %s when the connection takes it',
		async change => {
			const { flow, keys } = createKeyFlow(2);
			const sink = flow.submit('work', undefined, knownKey);
			const [attempt] = flow.attempts;
			keys.ageMs = change === 'too old' ? withdrawnWithinMs : 0;
			keys.isWithdrawn = change === 'withdrawn';
			attempt!.observer.noteHandedOver();
			await flow.waitForPromises();
			expect(attempt!.cancelled).toBeDefined();
			expect(flow.attempts).toHaveLength(1);
			const kind = change === 'too old' ? ErrorKind.KeyUnconfirmed : ErrorKind.KeyUnknown;
			expect(sink.refusal?.kind).toBe(kind);
			expect(sink.refusal?.isOutcomeUnknown).toBeUndefined();
		},
	);

	// Guards against answers that are cut off by a store that is down.
	it('gets the rest of an answer that has begun', () => {
		const { flow, keys } = createKeyFlow();
		const sink = flow.submit('work', undefined, knownKey);
		const [attempt] = flow.attempts;
		attempt!.observer.noteHandedOver();
		beginAnswer(attempt!, 'first ');
		keys.ageMs = undefined;
		keys.isWithdrawn = true;
		attempt!.observer.receiveData(Buffer.from('second'));
		attempt!.observer.noteCompleted();
		expect(sink).toMatchObject({ text: 'first second', hasEnded: true });
	});
});

describe('a request without a key', () => {
	it('is sent whatever is known of the keys', () => {
		const { flow, keys } = createKeyFlow();
		keys.ageMs = undefined;
		keys.isWithdrawn = true;
		const sink = flow.submit();
		flow.attempts[0]!.observer.noteHandedOver();
		beginAnswer(flow.attempts[0]!, 'done');
		flow.attempts[0]!.observer.noteCompleted();
		expect(sink).toMatchObject({ text: 'done', hasEnded: true });
	});
});
