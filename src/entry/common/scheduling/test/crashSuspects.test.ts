import { SeededRandom } from '../../../../base/common/random';
import { ServiceScheduler } from '../scheduler';
import type { ScheduleDecision } from '../serviceScheduler';
import { AttemptEnd, ScheduleDecisionKind } from '../serviceScheduler';
import { createRequest, createTarget } from './fixtures';

function listStarts(decisions: readonly ScheduleDecision[]): string[] {
	return decisions.flatMap(decision =>
		decision.kind === ScheduleDecisionKind.Start ? [`${decision.requestId} at ${decision.target}`] : [],
	);
}

describe('requests that were in flight when a target crashed', () => {
	it('run on separate targets, together with other requests, and wait if every target already runs one', () => {
		// One of several requests crashed its target, and all of them are retried. If two of them shared the next
		// target and it crashed too, both would have been seen at two crashes, and the harmless one would be
		// refused.
		const scheduler = new ServiceScheduler(new SeededRandom(5));
		scheduler.setTargets([createTarget('t1'), createTarget('t2')], 0);
		const suspects = ['a', 'b', 'c'].map(id => createRequest(id, { isKeptApart: () => true }));
		for (const request of [...suspects, createRequest('harmless')]) {
			scheduler.submit(request, 0);
		}
		const starts = listStarts(scheduler.advance(0));
		const suspectStarts = starts.filter(start => !start.startsWith('harmless'));
		expect(suspectStarts.map(start => start.slice(-2)).sort()).toEqual(['t1', 't2']);
		expect(starts).toHaveLength(3);
		const first = suspects.find(({ id }) => suspectStarts.some(start => start.startsWith(id)))!;
		scheduler.noteEnd(first.id, AttemptEnd.Answered, 100);
		expect(listStarts(scheduler.advance(100))).toHaveLength(1);
	});
});
