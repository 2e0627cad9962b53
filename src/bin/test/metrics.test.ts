/**
 * Runs two entries in two regions with a simulated platform and target, sends requests and checks that each defined
 * metric is recorded.
 */

import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import pino from 'pino';
import { request } from 'undici';
import { DisposableStore, toDisposable } from '../../base/common/lifecycle';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { findFreePorts } from '../../demo/node/freePorts';
import type { LateWindow } from '../../entry/common/eventLoop/eventLoopMonitor';
import { Entry } from '../../entry/node/entry';
import { NativeEnvironment } from '../../entry/node/environment/nativeEnvironment';
import { entrySettingsSchema } from '../../core/settings/common/entrySettings';
import { parseSettings } from '../../core/settings/common/settings';
import { gaugeDefinitions, listEntryMetrics } from '../../core/telemetry/common/entryMetricDefinitions';
import { standinSettingsSchema } from '../../standin/common/standinSettings';
import { StandinHost } from '../../standin/node/standinHost';

/** Includes starting the entries, their discovery of each other and their shutdown on a busy machine. */
const timeoutMs = 40_000;
const pollMs = 50;
/** Longer than the interval between two checks of the event loop and the lateness that is recorded. */
const freezeMs = 500;

interface RunningEntry {
	readonly entry: Entry;
	readonly callers: string;
	readonly operators: string;
	readonly logLines: readonly string[];
}

const owned = new DisposableStore();
const entries: RunningEntry[] = [];

async function startStandins(): Promise<{ platform: string; admin: string; bookings: string }> {
	const sections = ['admin', 'platform', 'plain.bookings-1'];
	const text = sections.map(section => `[${section}]\nlisten = 127.0.0.1:0`).join('\n');
	const settings = parseSettings(standinSettingsSchema, text)._unsafeUnwrap();
	const { addresses, admin } = await owned
		.add(new StandinHost(settings, owned.add(new SystemTimerService())))
		.open();
	return { platform: addresses.platform ?? '', admin, bookings: addresses['bookings-1'] ?? '' };
}

/** Starts a target whose load header can't be read, and returns its address. */
async function startUnreadableTarget(): Promise<string> {
	const server = createServer((_, response) => {
		response.setHeader('anvilroad-load', 'many');
		response.end('ok');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	owned.add(
		toDisposable(() => {
			server.closeAllConnections();
			server.close();
		}),
	);
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createManifest(targetUrl: string, unreadableTargetUrl: string): string {
	const regions = ['kingston', 'montego'].map(name => ({ name, zones: [`${name}-a`] }));
	const place = { region: 'kingston', zone: 'kingston-a' };
	return JSON.stringify({
		regions,
		links: [{ between: ['kingston', 'montego'], oneWayMs: 1, megabitsPerSecond: 100 }],
		organisations: [
			{ name: 'harbour-hotel', home: 'kingston', limit: { unit: 'requests', perSecond: 1_000 } },
		],
		services: [
			{
				name: 'bookings',
				kind: 'plain',
				residency: 'any',
				repeat: 'idempotent',
				rules: [{ method: '*', path: '/run/pay', repeat: 'at-most-once', residency: 'home' }],
			},
			{ name: 'rooms', kind: 'plain', residency: 'any', repeat: 'idempotent' },
		],
		targets: [
			{ id: 'bookings-1', service: 'bookings', ...place, url: targetUrl },
			{ id: 'rooms-1', service: 'rooms', ...place, url: unreadableTargetUrl },
		],
	});
}

async function startEntry(region: string, peerPort: number, seed: number, platform: string): Promise<void> {
	const text = [
		`[instance]\nid = entry-${region}\nregion = ${region}\nzone = ${region}-a`,
		'[callers]\nlisten = 127.0.0.1:0\nurl = http://127.0.0.1:7001',
		`[peers]\nlisten = 127.0.0.1:${peerPort}\nurl = http://127.0.0.1:${peerPort}`,
		`seeds = http://127.0.0.1:${seed}\nplain = yes`,
		'[operators]\nlisten = 127.0.0.1:0\nplain = yes',
		`[platform]\nurl = ${platform}\n[tickets]\nkey = a-key-that-is-long-enough`,
	].join('\n');
	const lines: string[] = [];
	const logger = pino({}, { write: line => lines.push(line) });
	const settings = parseSettings(entrySettingsSchema, text)._unsafeUnwrap();
	const entry = new Entry(settings, new NativeEnvironment(settings), logger, '1.2.3');
	await entry.start();
	const line = lines.find(text => text.includes('"listening"')) ?? '';
	const { callers, operators } = JSON.parse(line) as { callers: number; operators: number };
	const address = 'http://127.0.0.1';
	entries.push({
		entry,
		callers: `${address}:${callers}`,
		operators: `${address}:${operators}`,
		logLines: lines,
	});
}

async function fetchText(url: string): Promise<string> {
	return (await request(url)).body.text();
}

async function fetchMetrics(): Promise<string> {
	const pages = await Promise.all(entries.map(({ operators }) => fetchText(`${operators}/metrics`)));
	return pages.join('\n');
}

async function sendCall(
	entry: RunningEntry,
	path: string,
	ticket = '',
	service = 'bookings',
): Promise<number> {
	const answer = await request(`${entry.callers}/v1/services/${service}${path}`, {
		headers: {
			'anvilroad-organisation': 'harbour-hotel',
			'x-call-id': 'metrics',
			...(ticket === '' ? {} : { 'anvilroad-ticket': ticket }),
		},
		method: ticket === '' ? 'GET' : 'POST',
	});
	await answer.body.dump();
	return answer.statusCode;
}

/** Keeps the event loop of all entries from running, like work that takes too long. */
function freezeEventLoop(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, freezeMs);
}

async function waitUntil(isMet: () => Promise<boolean>): Promise<void> {
	while (!(await isMet())) {
		await new Promise(resolve => setTimeout(resolve, pollMs));
	}
}

/** Returns whether the metrics page contains a sample of a metric, above 0 unless the metric is a gauge. */
function hasSamples(page: string, name: string): boolean {
	const isGauge = Object.values(gaugeDefinitions).some(gauge => gauge.name === name);
	const samples = [...page.matchAll(new RegExp(`^${name}(_count)?(\\{.*\\})? (\\S+)$`, 'gm'))];
	return samples.some(([, , , value]) => isGauge || Number(value) > 0);
}

/** Lists the metrics that docs/METRICS.md documents as not recorded. */
function listUnrecordedMetrics(): string[] {
	const page = readFileSync(join(__dirname, '../../../docs/METRICS.md'), 'utf8');
	const paragraph = /\*\*Not fed yet\*\*[\s\S]*?\n\n/.exec(page)?.[0] ?? '';
	return [...paragraph.matchAll(/`(anvilroad_[a-z_]+)`/g)].map(match => match[1] ?? '');
}

beforeAll(async () => {
	const standins = await startStandins();
	const manifest = {
		method: 'PUT',
		body: createManifest(standins.bookings, await startUnreadableTarget()),
	} as const;
	await request(`${standins.admin}/v1/platform/manifest`, manifest);
	const [first = 0, second = 0] = await findFreePorts(2);
	await startEntry('kingston', first, second, standins.platform);
	await startEntry('montego', second, first, standins.platform);
}, timeoutMs);

afterAll(async () => {
	await Promise.all(entries.map(({ entry }) => entry.stop('end of the test')));
	owned.dispose();
}, timeoutMs);

describe('the metrics of entries', () => {
	// Guards against a documented metric that the code never records: its alert never fires, and operators take
	// that for a healthy system.
	it(
		'are all recorded, except for those documented as not recorded',
		async () => {
			const [here, away] = entries;
			await waitUntil(async () => (await sendCall(here!, '/bytes?n=2000000')) === 200);
			await waitUntil(async () => (await sendCall(away!, '/bytes?n=10')) === 200);
			await waitUntil(async () => (await sendCall(here!, '/free', '', 'rooms')) === 200);
			const lookup = await fetchText(`${here!.callers}/v1/entries?service=bookings&tickets=1`);
			const [ticket] = (JSON.parse(lookup) as { tickets: string[] }).tickets;
			expect(await sendCall(here!, '/run/pay', ticket)).toBe(200);
			await waitUntil(async () => hasSamples(await fetchMetrics(), 'anvilroad_targets'));
			await waitUntil(async () => hasSamples(await fetchMetrics(), 'anvilroad_limit_answer_age_seconds'));
			await waitUntil(async () => hasSamples(await fetchMetrics(), 'anvilroad_limit_messages_total'));
			freezeEventLoop();
			await waitUntil(async () => hasSamples(await fetchMetrics(), 'anvilroad_event_loop_late_seconds'));
			const page = await fetchMetrics();
			const unrecorded = listEntryMetrics()
				.map(({ name }) => name)
				.filter(name => !hasSamples(page, name));
			// These entries have no certificates, no bound for withdrawn keys, and end their requests in time.
			const expected = [
				...listUnrecordedMetrics(),
				'anvilroad_certificate_expiry_timestamp_seconds',
				'anvilroad_key_knowledge_age_seconds',
				'anvilroad_overdue_requests_total',
			];
			expect(unrecorded.sort()).toEqual(expected.sort());
		},
		timeoutMs,
	);
});

describe('the log of entries', () => {
	// Guards against requests that wait at a busy entry while nothing that it writes names the work it was busy with.
	it(
		'has the requests that were served while the event loop was late',
		async () => {
			const [here] = entries;
			await waitUntil(async () => {
				await sendCall(here!, '/bytes?n=20000');
				freezeEventLoop();
				return here!.logLines.some(hasRequestWork);
			});
		},
		timeoutMs,
	);
});

/** Returns whether a line of the log reports a late event loop and work for requests. */
function hasRequestWork(line: string): boolean {
	const { eventLoop, msg } = JSON.parse(line) as { eventLoop?: LateWindow; msg: string };
	if (eventLoop === undefined || msg !== 'event loop late') {
		return false;
	}
	const { requestsStarted, attemptsStarted, answerChunks } = eventLoop.work;
	return requestsStarted > 0 && attemptsStarted > 0 && answerChunks > 0;
}
