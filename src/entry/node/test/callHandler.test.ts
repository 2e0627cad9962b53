import { ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { RepeatRule } from '../../../core/manifest/common/manifest';
import type { CapturedAttempt } from '../requests/test/flowFixtures';
import { beginAnswer } from '../requests/test/flowFixtures';
import { createHandlerWorld } from './callHandlerFixtures';

function answer(attempt: CapturedAttempt | undefined, text: string): void {
	attempt!.observer.noteHandedOver();
	beginAnswer(attempt!, text);
	attempt!.observer.noteCompleted();
}

describe('what a call handler counts', () => {
	it('tells tickets by what became of them', async () => {
		const { handler, flow, issue, send, render } = createHandlerWorld();
		handler.findEntries({
			service: 'bookings',
			organisation: undefined,
			previous: undefined,
			tickets: 3,
		} as never);
		const spent = issue();
		send(spent);
		send(spent);
		answer(flow.attempts[0], 'paid');
		send(spent);
		send(spent, 'another call');
		send(issue('neighbour'));
		send('1:forged');
		const refused = send(issue());
		flow.attempts[1]!.observer.noteFailed(new Error('connect refused'));
		flow.timers.advance(30_000);
		expect(refused.refusal && getOutcomeOf(refused.refusal)).toBe(Outcome.NotRun);
		const counts = (await render()).match(/^anvilroad_tickets_total.*$/gm)?.sort();
		expect(counts?.map(line => line.replace('anvilroad_tickets_total', ''))).toEqual([
			'{result="forwarded"} 1',
			'{result="issued"} 3',
			'{result="joined"} 1',
			'{result="refused"} 1',
			'{result="rejected"} 2',
			'{result="replayed"} 1',
			'{result="spent"} 1',
		]);
	});

	it('tells the wait in the queue, the gaps of the answer and the attempts by their ends', async () => {
		const { flow, send, render } = createHandlerWorld(RepeatRule.Idempotent);
		send(undefined);
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		beginAnswer(attempt, 'one');
		flow.timers.advance(40);
		attempt.observer.receiveData(Buffer.from('two'));
		attempt.observer.noteCompleted();
		const page = await render();
		expect(page).toContain('anvilroad_attempts_total{service="bookings",end="answered"} 1');
		expect(page).toContain('anvilroad_queue_wait_seconds_count{service="bookings",class="normal"} 1');
		expect(page).toContain('anvilroad_answer_gap_seconds_sum{service="bookings",class="normal"} 0.04');
	});
});

describe('a ticket of another entry of the region', () => {
	// Payments are carried to their issuers all day. Counted as sent to another region, they would use up the
	// operator's budget for links on paper, and the alert on it would mean nothing.
	it('is carried there without counting as sent away', async () => {
		const { flow, issue, send, render } = createHandlerWorld();
		send(issue('neighbour'));
		await flow.waitForPromises();
		const page = await render();
		expect(page).toContain('anvilroad_tickets_total{result="forwarded"} 1');
		expect(page).not.toContain('anvilroad_sent_away_requests_total{');
	});
});

describe('a leaving issuer', () => {
	// An instance is being replaced while a payment runs on it, and the payment's connection breaks. Its
	// caller sends it again. Only this instance knows of the payment; refused here, the household would
	// never learn whether it was charged.
	it('still joins and replays the calls that its tickets were spent on', () => {
		const { flow, issue, send, setLeaving } = createHandlerWorld();
		const ticket = issue();
		send(ticket);
		setLeaving();
		const joined = send(ticket);
		answer(flow.attempts[0], 'paid');
		const replayed = send(ticket);
		expect([joined.text, replayed.text]).toEqual(['paid', 'paid']);
		expect(flow.attempts).toHaveLength(1);
	});

	// A caller presents a fresh ticket to an instance that is being replaced. It is told not-run and pays by
	// other means; a copy of the call that is still under way must not run after that.
	it('refuses a fresh ticket for good, as not-run', () => {
		const { flow, issue, send, setLeaving } = createHandlerWorld();
		const ticket = issue();
		setLeaving();
		for (const sink of [send(ticket), send(ticket)]) {
			expect(sink.refusal).toMatchObject({ kind: ErrorKind.Leaving, entries: [{ instance: 'entry-2' }] });
			expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.NotRun);
		}
		expect(flow.attempts).toHaveLength(0);
	});

	it('takes no new work for a ticket that its service does not need', () => {
		const { flow, issue, send, setLeaving } = createHandlerWorld(RepeatRule.Idempotent);
		setLeaving();
		expect(send(issue()).refusal?.kind).toBe(ErrorKind.Leaving);
		expect(send(undefined).refusal?.kind).toBe(ErrorKind.Leaving);
		expect(flow.attempts).toHaveLength(0);
	});
});
