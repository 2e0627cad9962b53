/**
 * Measures what control costs one real entry in a fleet of a given size, while no request runs: the fleet
 * settles, a window is measured, and then some versions of the manifest are published.
 */

import { setTimeout as wait } from 'node:timers/promises';
import { Pool } from 'undici';
import type { ControlCost, FleetSize } from '../common/controlCost';
import { createPlace, formatManifest } from '../common/syntheticFleet';
import { FakePeers } from './fakePeers';
import type { ProcessUsage, ReadProcessorSeconds } from './measuredEntry';
import { MeasuredEntry } from './measuredEntry';
import { Publisher } from './publisher';

/** How long each part of a run lasts. */
export interface RunTimes {
	readonly settleMs: number;
	readonly windowMs: number;
	/** Versions of the manifest that are timed. */
	readonly versions: number;
}

const pauseMs = 150;
const statusOk = 200;
const lookups = 2_000;
const lookupConnections = 8;
const wholePercent = 100;

/** Measures one fleet. */
export async function measureControl(
	size: FleetSize,
	times: RunTimes,
	program: string,
	readProcessorSeconds: ReadProcessorSeconds,
): Promise<ControlCost> {
	const publisher = new Publisher();
	const peers = new FakePeers(size.peers, createPlace(0).id);
	const entry = new MeasuredEntry(program, readProcessorSeconds);
	try {
		await peers.start();
		publisher.putInstances(peers.formatInstanceList());
		const text = formatManifest(size, 0);
		const version = publisher.putManifest(text);
		await entry.start(await publisher.listen());
		await entry.waitForManifest(version);
		await peers.sendOwnViews(entry.peerUrl);
		await wait(times.settleMs);
		const window = await measureWindow(entry, peers, times.windowMs);
		const changes = await measureChanges(entry, publisher, size, times.versions);
		const lookupCpuUs = await measureLookups(entry);
		return { ...size, ...window, ...changes, lookupCpuUs, manifestBytes: Buffer.byteLength(text) };
	} finally {
		await entry.stop();
		await peers.close();
		publisher.dispose();
	}
}

type WindowCost = Pick<
	ControlCost,
	'corePercent' | 'residentMegabytes' | 'sentPerSecond' | 'receivedPerSecond' | 'exchanges'
>;

async function measureWindow(entry: MeasuredEntry, peers: FakePeers, windowMs: number): Promise<WindowCost> {
	const heardBefore = peers.countHeard();
	const startMs = performance.now();
	const before: ProcessUsage = await entry.readUsage();
	await wait(windowMs);
	const after = await entry.readUsage();
	const seconds = (performance.now() - startMs) / 1_000;
	return {
		corePercent: (wholePercent * (after.processorSeconds - before.processorSeconds)) / seconds,
		residentMegabytes: after.residentMegabytes,
		sentPerSecond: (after.sentBytes - before.sentBytes) / seconds,
		receivedPerSecond: (after.receivedBytes - before.receivedBytes) / seconds,
		exchanges: peers.countHeard() - heardBefore,
	};
}

async function measureChanges(
	entry: MeasuredEntry,
	publisher: Publisher,
	size: FleetSize,
	versions: number,
): Promise<Pick<ControlCost, 'inForceMs' | 'inForceCpuMs'>> {
	const tookMs: number[] = [];
	const before = await entry.readUsage();
	for (let note = 1; note <= versions; note++) {
		const text = formatManifest(size, note);
		const startMs = performance.now();
		await entry.waitForManifest(publisher.putManifest(text));
		tookMs.push(performance.now() - startMs);
		await wait(pauseMs);
	}
	const after = await entry.readUsage();
	const sorted = tookMs.sort((left, right) => left - right);
	return {
		inForceMs: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
		inForceCpuMs: (1_000 * (after.processorSeconds - before.processorSeconds)) / versions,
	};
}

/** Sends lookups over some connections and gives the processor time of each in microseconds. */
async function measureLookups(entry: MeasuredEntry): Promise<number> {
	const url = new URL(entry.getLookupUrl('service-0'));
	const pool = new Pool(url.origin, { connections: lookupConnections });
	const before = await entry.readUsage();
	const sendSome = async (): Promise<void> => {
		for (let count = 0; count < lookups / lookupConnections; count++) {
			const answer = await pool.request({ method: 'GET', path: `${url.pathname}${url.search}` });
			const body = await answer.body.text();
			if (answer.statusCode !== statusOk) {
				throw new Error(`a lookup was answered ${answer.statusCode}: ${body}`);
			}
		}
	};
	await Promise.all(Array.from({ length: lookupConnections }, sendSome));
	const after = await entry.readUsage();
	await pool.close();
	return (1_000_000 * (after.processorSeconds - before.processorSeconds)) / lookups;
}
