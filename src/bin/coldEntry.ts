/**
 * `npm run cold-entry`: measures what the first requests of an entry cost. The entry has the peers and the targets of a
 * large deployment and receives few requests, so most of its code runs for the first time. Prints the processor time of
 * the start, at rest and for each request, and on demand the functions that took most of it.
 */

import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { Pool } from 'undici';
import { createMixedRequest } from '../../platform/standin/mixedRequests';
import { siteServices, StandinSite } from '../../platform/standin/standinSite';
import { SeededRandom } from '../base/common/random';
import { renderTable } from '../base/common/textTable';
import { SystemTimerService } from '../base/node/systemTimerService';
import type { CpuProfile } from '../capacity/common/selfTimes';
import { computeSelfTimes } from '../capacity/common/selfTimes';
import { createSyntheticInstance, syntheticZones } from '../capacity/common/syntheticFleet';
import { FakePeers } from '../capacity/node/fakePeers';
import { MeasuredEntry } from '../capacity/node/measuredEntry';
import { planArrivals } from '../load/common/arrivalPlan';
import { ArrivalProfile } from '../load/common/loadOptions';
import { readProcessorSeconds } from '../load/node/processorTime';
import { endOnSignals } from './endOnSignals';

const plainTargetCount = 6;
const connections = 15;
const settleMs = 3_000;
const restMs = 4_000;
const firstManifestVersion = 1;
const exitCodeFailed = 1;

interface Options {
	readonly peers: number;
	readonly targets: number;
	readonly requests: number;
	readonly rate: number;
	readonly seed: number;
	readonly program: string;
	readonly node: readonly string[];
	readonly profile: boolean;
	readonly top: number;
}

interface Cost {
	readonly startMs: number;
	readonly restMsPerSecond: number;
	readonly requestMs: number;
	readonly residentMegabytes: number;
	readonly answered: number;
	/** When the first request was sent, on the monotonic clock of the machine in microseconds. */
	readonly loadStartUs: number;
}

function formatSettings(peerPort: number, storeUrl: string): string {
	const { id, region, zone } = createSyntheticInstance(0);
	return [
		`[instance]\nid = ${id}\nregion = ${region}\nzone = ${zone}`,
		'[callers]\nlisten = 127.0.0.1:0\nurl = http://127.0.0.1:1',
		`[peers]\nlisten = 127.0.0.1:${peerPort}\nurl = http://127.0.0.1:${peerPort}\nplain = yes`,
		'[operators]\nlisten = 127.0.0.1:0\nplain = yes',
		`[platform]\nurl = ${storeUrl}\nprotocol = store`,
		'[directory]\nlisten = 127.0.0.1:0',
		'[readiness]\nlisten = 127.0.0.1:0',
		`[zones]\n${syntheticZones.map(item => `${item.zone} = ${item.region}`).join('\n')}`,
		'[leaving]\nkilled_after_s = 1',
	].join('\n');
}

/** Sends the requests at their planned times and returns how many were answered with success. */
async function sendRequests(url: string, options: Options): Promise<number> {
	const random = new SeededRandom(options.seed);
	const durationMs = (options.requests * 1_000) / options.rate;
	const arrivals = planArrivals(
		{ ratePerSecond: options.rate, durationMs, profile: ArrivalProfile.Poisson },
		random,
	);
	const pool = new Pool(url, { connections, pipelining: 1 });
	const startMs = performance.now();
	const send = async (sequence: number): Promise<boolean> => {
		const { method, path, headers, bodyBytes } = createMixedRequest(sequence, random);
		const body = bodyBytes > 0 ? Buffer.alloc(bodyBytes, 'x') : null;
		const answer = await pool.request({ method, path, headers, body }).catch(() => undefined);
		await answer?.body.dump({ limit: Number.POSITIVE_INFINITY }).catch(() => undefined);
		return answer?.statusCode === 200;
	};
	const answers: Promise<boolean>[] = [];
	for (const [sequence, atMs] of arrivals.entries()) {
		await wait(Math.max(0, startMs + atMs - performance.now()));
		answers.push(send(sequence));
	}
	const results = await Promise.all(answers);
	await pool.close();
	return results.filter(isAnswered => isAnswered).length;
}

async function measure(options: Options, profileFolder: string): Promise<Cost> {
	const timers = new SystemTimerService();
	const site = new StandinSite(
		{ zones: syntheticZones, engines: options.targets - plainTargetCount, plainTargets: plainTargetCount },
		timers,
	);
	const peers = new FakePeers(options.peers, createSyntheticInstance(0).id, Object.values(siteServices));
	const profileOptions = options.profile ? ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`] : [];
	const nodeOptions = [...options.node.map(flag => `--${flag}`), ...profileOptions];
	const entry = new MeasuredEntry(options.program, readProcessorSeconds, { nodeOptions, formatSettings });
	try {
		await peers.start();
		await entry.start(await site.open());
		await entry.waitForManifest(firstManifestVersion);
		await peers.sendOwnViews(entry.peerUrl);
		const started = await entry.readUsage();
		await wait(settleMs);
		const settled = await entry.readUsage();
		await wait(restMs);
		const rested = await entry.readUsage();
		const restMsPerSecond = (1_000_000 * (rested.processorSeconds - settled.processorSeconds)) / restMs;
		const sendStartMs = performance.now();
		const loadStartUs = Number(process.hrtime.bigint()) / 1_000;
		const answered = await sendRequests(entry.getCallersUrl(), options);
		const sendSeconds = (performance.now() - sendStartMs) / 1_000;
		const loaded = await entry.readUsage();
		const loadedMs = 1_000 * (loaded.processorSeconds - rested.processorSeconds);
		return {
			startMs: 1_000 * started.processorSeconds,
			restMsPerSecond,
			requestMs: (loadedMs - restMsPerSecond * sendSeconds) / options.requests,
			residentMegabytes: loaded.residentMegabytes,
			answered,
			loadStartUs,
		};
	} finally {
		await entry.stopGracefully();
		await peers.close();
		site.dispose();
		timers.dispose();
	}
}

function printCost(cost: Cost, options: Options): void {
	const headings = ['peers', 'targets', 'start ms', 'rest ms/s', 'request ms', 'MB', 'answered', 'requests'];
	const figures = [
		options.peers,
		options.targets,
		cost.startMs.toFixed(0),
		cost.restMsPerSecond.toFixed(1),
		cost.requestMs.toFixed(2),
		cost.residentMegabytes.toFixed(0),
		cost.answered,
		options.requests,
	];
	process.stdout.write(`${renderTable(headings, [figures.map(String)])}\n`);
}

/** Prints the self times since the first request was sent. */
function printProfile(folder: string, loadStartUs: number, top: number): void {
	for (const file of readdirSync(folder)) {
		const profile = JSON.parse(readFileSync(join(folder, file), 'utf8')) as CpuProfile;
		const rows = computeSelfTimes(profile, (loadStartUs - profile.startTime) / 1_000)
			.slice(0, top)
			.map(({ name, selfMs }) => [selfMs.toFixed(1), name]);
		process.stdout.write(`\n${renderTable(['self ms', 'function'], rows)}\n`);
	}
}

async function runColdEntry(): Promise<void> {
	const { default: yargs } = await import('yargs');
	const options = await yargs(process.argv.slice(2))
		.scriptName('npm run cold-entry --')
		.option('peers', { type: 'number', default: 84, describe: 'number of other entries' })
		.option('targets', { type: 'number', default: 78, describe: 'number of targets in all regions' })
		.option('requests', { type: 'number', default: 130, describe: 'mean number of requests' })
		.option('rate', { type: 'number', default: 18.6, describe: 'mean requests per second' })
		.option('seed', { type: 'number', default: 1, describe: 'seed of arrivals and requests' })
		.option('program', { type: 'string', default: 'target/entry.js', describe: 'the program of the entry' })
		.option('node', { type: 'string', array: true, default: [], describe: 'options of Node, without dashes' })
		.option('profile', { type: 'boolean', default: false, describe: 'also print self time by function' })
		.option('top', { type: 'number', default: 40, describe: 'number of functions to print' })
		.strict()
		.parseAsync();
	const folder = mkdtempSync(join(tmpdir(), 'anvilroad-profile-'));
	try {
		const cost = await measure(options, folder);
		printCost(cost, options);
		printProfile(folder, cost.loadStartUs, options.top);
	} finally {
		rmSync(folder, { recursive: true, force: true });
	}
}

endOnSignals();
void runColdEntry().catch((error: unknown) => {
	process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
	process.exitCode = exitCodeFailed;
});
