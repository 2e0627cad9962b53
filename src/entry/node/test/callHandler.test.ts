import { createRequestError, ErrorKind, getOutcomeOf } from '../../../core/errors/common/errorKinds';
import { Outcome } from '../../../core/errors/common/outcome';
import { RepeatRule } from '../../../core/manifest/common/manifest';
import type { CapturedAttempt } from '../requests/test/flowFixtures';
import { beginAnswer } from '../requests/test/flowFixtures';
import { createHandlerFixture } from './callHandlerFixtures';

function answer(attempt: CapturedAttempt | undefined, text: string): void {
	attempt!.observer.noteHandedOver();
	beginAnswer(attempt!, text);
	attempt!.observer.noteCompleted();
}

describe('metrics of a call handler', () => {
	it('count tickets by result', async () => {
		const { handler, flow, issue, send, render } = createHandlerFixture();
		handler.findEntries({
			service: 'bookings',
			organisation: undefined,
			previous: undefined,
			tickets: 3,
		} as never);
		const ticket = issue();
		send(ticket);
		send(ticket);
		answer(flow.attempts[0], 'paid');
		send(ticket);
		send(ticket, 'another call');
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

	it('record queue waits, gaps in answers, and attempts by how they ended', async () => {
		const { flow, send, render } = createHandlerFixture(RepeatRule.Idempotent);
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

describe('the work counts of a call handler', () => {
	it('have each request, attempt, chunk and close of a caller', () => {
		const { handler, flow, send, getWorkCounts } = createHandlerFixture(RepeatRule.Idempotent);
		send(undefined);
		const attempt = flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		beginAnswer(attempt, 'one');
		attempt.observer.receiveData(Buffer.from('two'));
		attempt.observer.noteCompleted();
		send(undefined).abandon?.();
		const read = { id: handler.createRequestId(), head: undefined, line: 'POST /pay', arrivedMs: 0 };
		handler.recordRefused(read, createRequestError(ErrorKind.CallerGone, 'closed before its start'));
		handler.recordRefused(read, createRequestError(ErrorKind.Overloaded, 'not started'));
		expect(getWorkCounts()).toEqual({
			requestsStarted: 2,
			attemptsStarted: 2,
			answerChunks: 2,
			callerCloses: 2,
		});
	});
});

describe('a ticket of another entry of the region', () => {
	// Calls with tickets are routinely forwarded to the entry that issued the ticket. Counted as sent to another
	// region, they would inflate the link usage metric and make the alert on it useless.
	it('is forwarded to that entry without counting as sent away', async () => {
		const { flow, issue, send, render } = createHandlerFixture();
		send(issue('neighbour'));
		await flow.waitForPromises();
		const page = await render();
		expect(page).toContain('anvilroad_tickets_total{result="forwarded"} 1');
		expect(page).not.toContain('anvilroad_sent_away_requests_total{');
	});
});

describe('an entry that is leaving', () => {
	// An instance is replaced while a payment runs on it, and the caller's connection breaks. Only this instance
	// has a record of the payment: if it refused the caller's resend, the caller could not find out whether the
	// payment was made.
	it('still joins and replays calls whose tickets it issued', () => {
		const { flow, issue, send, setLeaving } = createHandlerFixture();
		const ticket = issue();
		send(ticket);
		setLeaving();
		const joined = send(ticket);
		answer(flow.attempts[0], 'paid');
		const replayed = send(ticket);
		expect([joined.text, replayed.text]).toEqual(['paid', 'paid']);
		expect(flow.attempts).toHaveLength(1);
	});

	// A caller sends an unused ticket to an instance that is being replaced, is refused with not-run and pays by
	// other means. A copy of the call that is still in flight must not run after that.
	it('refuses an unused ticket permanently, as not-run', () => {
		const { flow, issue, send, setLeaving } = createHandlerFixture();
		const ticket = issue();
		setLeaving();
		for (const sink of [send(ticket), send(ticket)]) {
			expect(sink.refusal).toMatchObject({ kind: ErrorKind.Leaving, entries: [{ instance: 'entry-2' }] });
			expect(sink.refusal && getOutcomeOf(sink.refusal)).toBe(Outcome.NotRun);
		}
		expect(flow.attempts).toHaveLength(0);
	});

	it('refuses calls with a ticket for a service that does not need tickets', () => {
		const { flow, issue, send, setLeaving } = createHandlerFixture(RepeatRule.Idempotent);
		setLeaving();
		expect(send(issue()).refusal?.kind).toBe(ErrorKind.Leaving);
		expect(send(undefined).refusal?.kind).toBe(ErrorKind.Leaving);
		expect(flow.attempts).toHaveLength(0);
	});
});
