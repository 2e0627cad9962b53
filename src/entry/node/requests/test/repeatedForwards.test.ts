import type { InstanceId, RegionName, RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { createHandlerFixture } from '../../test/callHandlerFixtures';
import type { HandlerFixture } from '../../test/callHandlerFixtures';
import type { AcceptedCall } from '../requestRun';
import { beginAnswer, CapturingSink, createCall, createPlan } from './flowFixtures';

const slots = 8;
const region = 'montego' as RegionName;

/** Receives a request with the id that all of these have from another entry. */
function receiveForward({ handler, flow }: HandlerFixture, from: string, repeat: RepeatRule): CapturingSink {
	const sink = new CapturingSink();
	const call = createCall('shared-id' as RequestId, createPlan(repeat), 'work', flow.timers.getNow());
	const origin = { instance: from as InstanceId, region };
	const forwarded: AcceptedCall = { ...call, origin };
	handler.accept(forwarded, sink);
	return sink;
}

function answer({ flow }: HandlerFixture, index: number, text: string): void {
	const { observer } = flow.attempts[index]!;
	observer.noteHandedOver();
	beginAnswer(flow.attempts[index]!, text);
	observer.noteCompleted();
}

describe('a request that an entry forwards again after it has lost the connection for the first time', () => {
	// Guards against a request that is never started, and a slot that stays taken, as the first run with its id ends the second.
	it('ends the first run, and is answered', () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const first = receiveForward(fixture, 'entry-2', RepeatRule.Idempotent);
		fixture.flow.attempts[0]!.observer.noteHandedOver();
		const second = receiveForward(fixture, 'entry-2', RepeatRule.Idempotent);
		expect([first.refusal !== undefined, fixture.flow.attempts[0]!.cancelled !== undefined]).toEqual([
			true,
			true,
		]);
		answer(fixture, 1, 'done');
		expect([second.hasEnded, second.text]).toEqual([true, 'done']);
		expect(fixture.flow.runner.measureRoom()).toMatchObject({ queued: 0, running: 0, freeSlots: slots });
	});
});

describe('requests of two entries with one id', () => {
	// Guards against the answer of one caller that reaches another, or neither, where callers use an id twice.
	it('are answered each with its own answer', () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const sinks = ['entry-2', 'entry-3'].map(from => receiveForward(fixture, from, RepeatRule.Idempotent));
		answer(fixture, 0, 'first');
		answer(fixture, 1, 'second');
		expect(sinks.map(({ hasEnded, text }) => [hasEnded, text])).toEqual([
			[true, 'first'],
			[true, 'second'],
		]);
		expect(fixture.flow.runner.measureRoom()).toMatchObject({ queued: 0, running: 0, freeSlots: slots });
	});

	// Guards against a payment that is cancelled while it runs because another one has its id.
	it('are left alone if they run at most once', () => {
		const fixture = createHandlerFixture(RepeatRule.AtMostOnce);
		const plan = createPlan(RepeatRule.AtMostOnce);
		const tickets = [fixture.issue(), fixture.issue()];
		const sinks = tickets.map(ticket => {
			const sink = new CapturingSink();
			const call = createCall('shared-id' as RequestId, plan, 'work', 0);
			const origin = { instance: 'entry-2' as InstanceId, region };
			fixture.handler.accept({ ...call, head: { ...call.head, ticket }, origin }, sink);
			return sink;
		});
		answer(fixture, 0, 'first');
		answer(fixture, 1, 'second');
		expect(sinks.map(({ hasEnded, text }) => [hasEnded, text])).toEqual([
			[true, 'first'],
			[true, 'second'],
		]);
		expect(fixture.flow.runner.measureRoom()).toMatchObject({ queued: 0, running: 0, freeSlots: slots });
	});
});
