import perfHooks from 'node:perf_hooks';
import { ErrorKind } from '../../errors/common/errorKinds';
import { Outcome } from '../../errors/common/outcome';
import { RequestClass } from '../../requests/common/requestClass';
import { listEntryMetrics } from '../common/entryMetricDefinitions';
import { TicketResult } from '../common/entryMetricLabels';
import { EntryMetrics } from '../node/entryMetrics';

function createMetrics(): EntryMetrics {
	const metrics = new EntryMetrics({ version: '1.2.3', instance: 'entry-1', region: 'r', zone: 'r-a' });
	metrics.setServices(['bookings']);
	return metrics;
}

describe('EntryMetrics', () => {
	it('renders recorded values, with times in seconds', async () => {
		const metrics = createMetrics();
		metrics.noteRequest('bookings', RequestClass.Urgent, Outcome.NotRun, ErrorKind.Overloaded);
		metrics.noteFirstByte('bookings', RequestClass.Urgent, 600);
		metrics.noteTicket(TicketResult.Issued, 4);
		metrics.noteEventLoopLate(950);
		const page = await metrics.render();
		expect(page).toContain('anvilroad_event_loop_late_seconds_sum 0.95');
		expect(page).toContain('anvilroad_tickets_total{result="issued"} 4');
		expect(page).toContain(
			'anvilroad_requests_total{service="bookings",class="urgent",outcome="not-run",error="overloaded"} 1',
		);
		expect(page).toMatch(/anvilroad_first_byte_seconds_bucket\{le="0.5",.*\} 0/);
		expect(page).toMatch(/anvilroad_first_byte_seconds_bucket\{le="0.61",.*\} 1/);
		expect(page).toContain('anvilroad_info{version="1.2.3",instance="entry-1",region="r",zone="r-a"} 1');
	});

	// Guards against the library's default, which samples the event loop delay a hundred times a second and so keeps an
	// idle process busy.
	it('samples the event loop no more than twice a second', () => {
		const monitor = jest.spyOn(perfHooks, 'monitorEventLoopDelay');
		createMetrics();
		const resolutions = monitor.mock.calls.map(([options]) => options?.resolution ?? 10);
		monitor.mockRestore();
		expect(resolutions).toHaveLength(1);
		expect(Math.min(...resolutions)).toBeGreaterThanOrEqual(500);
	});

	// A scanner tries many service names. With a label value for each, the memory of the entry and the metrics page
	// would grow until a scrape times out.
	it('uses one label value for all services that are not in the manifest', async () => {
		const metrics = createMetrics();
		for (let guess = 0; guess < 1_000; guess++) {
			metrics.noteRequest(`guess-${guess}`, RequestClass.Normal, Outcome.NotRun, ErrorKind.UnknownService);
		}
		const page = await metrics.render();
		expect(page).toMatch(/anvilroad_requests_total\{service="other",.*\} 1000/);
		expect(page).not.toContain('guess-');
	});

	// When the last failed target of a service recovers, or the service is removed from the manifest, its count must
	// disappear. Otherwise an alert on failed targets would fire until the entry is restarted.
	it('removes the counts of states and services that no longer exist', async () => {
		const metrics = createMetrics();
		const gauges = { queued: 1, running: 2, waitMs: 1_500, longestWaitMs: 2_500, isCut: true };
		metrics.setService('bookings', { ...gauges, targetsByState: new Map([['failed', 1]]) });
		metrics.setService('bookings', { ...gauges, targetsByState: new Map([['serving', 1]]) });
		const before = await metrics.render();
		expect(before).toContain('anvilroad_targets{service="bookings",state="serving"} 1');
		expect(before).toContain('anvilroad_predicted_wait_seconds{service="bookings"} 1.5');
		expect(before).toContain('anvilroad_longest_wait_seconds{service="bookings"} 2.5');
		expect(before).toContain('anvilroad_paths_cut{service="bookings"} 1');
		expect(before).not.toContain('state="failed"');
		metrics.setServices([]);
		expect(await metrics.render()).not.toContain('service="bookings"');
	});

	// An entry without TLS has no certificate. If the metric were 0, the alert for certificates that expire soon would
	// fire for every such entry.
	it('reports the certificate expiry only if there is a certificate', async () => {
		const metrics = createMetrics();
		const name = 'anvilroad_certificate_expiry_timestamp_seconds';
		expect(await metrics.render()).not.toMatch(new RegExp(`^${name} `, 'm'));
		metrics.setCertificateExpiry(new Date(2_000));
		expect(await metrics.render()).toMatch(new RegExp(`^${name} 2$`, 'm'));
	});

	// An entry without a bound has no such age. If the metric were 0, it would say that the keys are confirmed.
	it('reports the age of the knowledge of keys only if it is measured', async () => {
		const metrics = createMetrics();
		const name = 'anvilroad_key_knowledge_age_seconds';
		expect(await metrics.render()).not.toMatch(new RegExp(`^${name} `, 'm'));
		metrics.setKeyKnowledgeAge(1_500);
		expect(await metrics.render()).toMatch(new RegExp(`^${name} 1.5$`, 'm'));
	});

	it('registers each defined metric under a name that follows the conventions', async () => {
		const names = listEntryMetrics().map(metric => metric.name);
		const page = await createMetrics().render();
		for (const name of names) {
			expect(page).toContain(`# TYPE ${name} `);
			expect(name).toMatch(/^anvilroad_[a-z_]+$/);
		}
		expect(new Set(names).size).toBe(names.length);
	});
});
