import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type {
	InstanceId,
	RegionName,
	RequestId,
	ServiceName,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { EntryMetrics } from '../../../../core/telemetry/node/entryMetrics';
import { RequestEvent } from '../../../common/requests/requestLifecycle';
import { HeldBytes } from '../../callers/bodyReader';
import { createHandlerFixture } from '../../test/callHandlerFixtures';
import { ActiveRuns } from '../activeRuns';
import type { AcceptedCall, RequestRun } from '../requestRun';
import { CapturingSink, createCall, createPlan } from './flowFixtures';

const limitMs = 30_000;
const overdueMs = 50;
const service = 'bookings' as ServiceName;

interface OpenedRun {
	readonly timers: ManualTimerService;
	readonly runs: ActiveRuns;
	readonly run: RequestRun;
	readonly sink: CapturingSink;
	render(): Promise<string>;
}

/** Opens a request that no part of the entry serves. */
function openRun(change: Partial<AcceptedCall> = {}): OpenedRun {
	const timers = new ManualTimerService();
	const instance = 'entry-1' as InstanceId;
	const place = { region: 'kingston' as RegionName, zone: 'kingston-a' as ZoneName };
	const metrics = new EntryMetrics({ version: '1', instance, ...place });
	metrics.setServices([service]);
	const journal = new RingRequestJournal(10, () => new Date(0));
	const runs = new ActiveRuns(journal, metrics, new HeldBytes(1_000), timers, { noteBegun: () => undefined });
	const sink = new CapturingSink();
	const call = createCall('request-1' as RequestId, createPlan(RepeatRule.Idempotent), 'work', 0);
	const run = runs.open({ ...call, ...change }, sink);
	run.lifecycle.send(RequestEvent.AcceptHead);
	run.lifecycle.send(RequestEvent.Enqueue);
	run.noteSubmitted();
	return { timers, runs, run, sink, render: () => metrics.render() };
}

function startAttempt(run: RequestRun): void {
	run.lifecycle.send(RequestEvent.Start);
	run.lifecycle.send(RequestEvent.HandOver);
}

describe('a request that no part of the entry ends', () => {
	// Guards against callers that wait for nothing because of a fault anywhere between the acceptance and the answer.
	it('is rejected as not run after its deadline if it was never sent, and counted', async () => {
		const { timers, runs, sink, render } = openRun();
		timers.advance(limitMs);
		expect(sink.refusal).toBeUndefined();
		timers.advance(overdueMs);
		expect(sink.refusal).toMatchObject({ kind: ErrorKind.DeadlineUnreachable });
		expect(runs.count()).toBe(0);
		expect(await render()).toContain('anvilroad_overdue_requests_total{service="bookings",state="queued"} 1');
	});

	it('fails with an unknown outcome if it was sent', async () => {
		const { timers, run, sink, render } = openRun();
		startAttempt(run);
		timers.advance(limitMs + overdueMs);
		expect(sink.refusal).toMatchObject({ kind: ErrorKind.DeadlineExceeded });
		expect(await render()).toContain('state="handedOver"} 1');
	});

	it('has what is done for it ended as well', () => {
		const { timers, run } = openRun();
		let abandoned = 0;
		run.setAbandonHandler(() => abandoned++);
		timers.advance(limitMs + overdueMs);
		expect(abandoned).toBe(1);
	});

	// Guards against answers that are cut off by a default deadline, which callers have not set.
	it('is left alone if its answer has begun and the deadline is a default one', async () => {
		const { timers, run, sink, render } = openRun({ isDeadlineGiven: false });
		startAttempt(run);
		run.begin({ status: 200, lines: [] }, () => undefined);
		timers.advance(limitMs + overdueMs);
		expect([sink.isCut, sink.hasEnded]).toEqual([false, false]);
		expect(await render()).not.toContain('anvilroad_overdue_requests_total{');
	});
});

describe('the longest wait of a service', () => {
	// Guards against a queue that nothing serves while no metric shows it.
	it('is that of the request without an attempt in progress', () => {
		const { timers, runs, run } = openRun();
		timers.advance(4_000);
		expect(runs.measureLongestWaitMs(service)).toBe(4_000);
		expect(runs.measureLongestWaitMs('rooms' as ServiceName)).toBe(0);
		startAttempt(run);
		expect(runs.measureLongestWaitMs(service)).toBe(0);
	});
});

describe('a queued call with a ticket that has ended', () => {
	// Guards against a payment that runs although its caller has an answer that says it did not.
	it('is not sent to a target', () => {
		const { flow, issue, send } = createHandlerFixture();
		const slots = 8;
		const sinks = Array.from({ length: slots + 1 }, (_, index) => send(issue(), `pay ${index}`));
		expect(flow.attempts).toHaveLength(slots);
		flow.timers.advance(limitMs + overdueMs);
		expect(sinks.every(({ refusal }) => refusal !== undefined)).toBe(true);
		expect(flow.attempts).toHaveLength(slots);
	});
});
