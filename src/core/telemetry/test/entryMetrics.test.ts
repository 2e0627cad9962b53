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
	it('shows what was counted, with times in seconds', async () => {
		const metrics = createMetrics();
		metrics.noteRequest('bookings', RequestClass.Urgent, Outcome.NotRun, ErrorKind.Overloaded);
		metrics.noteFirstByte('bookings', RequestClass.Urgent, 600);
		metrics.noteTicket(TicketResult.Issued, 4);
		const page = await metrics.render();
		expect(page).toContain('anvilroad_tickets_total{result="issued"} 4');
		expect(page).toContain(
			'anvilroad_requests_total{service="bookings",class="urgent",outcome="not-run",error="overloaded"} 1',
		);
		expect(page).toMatch(/anvilroad_first_byte_seconds_bucket\{le="0.5",.*\} 0/);
		expect(page).toMatch(/anvilroad_first_byte_seconds_bucket\{le="0.61",.*\} 1/);
		expect(page).toContain('anvilroad_info{version="1.2.3",instance="entry-1",region="r",zone="r-a"} 1');
	});

	// A process that samples its own loop a hundred times a second wakes as often while nothing is asked of it. Its
	// operators pay for an instance that is never at rest.
	it('samples the event loop no more than twice a second', () => {
		const monitor = jest.spyOn(perfHooks, 'monitorEventLoopDelay');
		createMetrics();
		const resolutions = monitor.mock.calls.map(([options]) => options?.resolution ?? 10);
		monitor.mockRestore();
		expect(resolutions).toHaveLength(1);
		expect(Math.min(...resolutions)).toBeGreaterThanOrEqual(500);
	});

	// A scanner walks through guessed service names. With a label for each, the entry's memory and the
	// size of its metrics page grow until an operator's scrape times out.
	it('puts all services that the manifest does not name under one label', async () => {
		const metrics = createMetrics();
		for (let guess = 0; guess < 1_000; guess++) {
			metrics.noteRequest(`guess-${guess}`, RequestClass.Normal, Outcome.NotRun, ErrorKind.UnknownService);
		}
		const page = await metrics.render();
		expect(page).toMatch(/anvilroad_requests_total\{service="other",.*\} 1000/);
		expect(page).not.toContain('guess-');
	});

	// The last failed target of a service comes back, or its service leaves the manifest. If its count
	// stayed on the page, the alert on failed targets would ring until the entry is restarted.
	it('drops the counts of states and services that are gone', async () => {
		const metrics = createMetrics();
		const gauges = { queued: 1, running: 2, waitMs: 1_500 };
		metrics.setService('bookings', { ...gauges, targetsByState: new Map([['failed', 1]]) });
		metrics.setService('bookings', { ...gauges, targetsByState: new Map([['serving', 1]]) });
		const before = await metrics.render();
		expect(before).toContain('anvilroad_targets{service="bookings",state="serving"} 1');
		expect(before).toContain('anvilroad_predicted_wait_seconds{service="bookings"} 1.5');
		expect(before).not.toContain('state="failed"');
		metrics.setServices([]);
		expect(await metrics.render()).not.toContain('service="bookings"');
	});

	// An entry without TLS has no certificate. If its expiry were shown as 0, the alert for certificates that
	// expire soon would ring for every such entry from its start.
	it('shows the expiry of a certificate only where there is one', async () => {
		const metrics = createMetrics();
		const name = 'anvilroad_certificate_expiry_timestamp_seconds';
		expect(await metrics.render()).not.toMatch(new RegExp(`^${name} `, 'm'));
		metrics.setCertificateExpiry(new Date(2_000));
		expect(await metrics.render()).toMatch(new RegExp(`^${name} 2$`, 'm'));
	});

	it('registers each metric of the definitions and names them by the conventions', async () => {
		const names = listEntryMetrics().map(metric => metric.name);
		const page = await createMetrics().render();
		for (const name of names) {
			expect(page).toContain(`# TYPE ${name} `);
			expect(name).toMatch(/^anvilroad_[a-z_]+$/);
		}
		expect(new Set(names).size).toBe(names.length);
	});
});
