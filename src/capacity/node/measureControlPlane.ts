/**
 * Measures the cost of the control plane for one real entry in a fleet of a given size, without requests from callers.
 * The measurement waits for the fleet to settle, then covers a time window, a number of published manifest versions
 * and a number of lookups.
 */

import { setTimeout as wait } from 'node:timers/promises';
import { Pool } from 'undici';
import type { ControlPlaneCost, FleetSize } from '../common/controlPlaneCost';
import { createSyntheticInstance, formatSyntheticManifest } from '../common/syntheticFleet';
import { FakePeers } from './fakePeers';
import type { ProcessUsage, ReadProcessorSeconds } from './measuredEntry';
import { MeasuredEntry } from './measuredEntry';
import { FakePlatform } from './fakePlatform';

/** Durations of the parts of a measurement. */
export interface MeasurementTimes {
	readonly settleMs: number;
	readonly windowMs: number;
	/** Number of manifest versions that are published and timed. */
	readonly versionCount: number;
}

const pauseBetweenVersionsMs = 150;
const statusOk = 200;
const lookupCount = 2_000;
const lookupConnections = 8;
const percentFactor = 100;

/** Runs the measurement for one fleet size. */
export async function measureControlPlane(
	size: FleetSize,
	times: MeasurementTimes,
	program: string,
	readProcessorSeconds: ReadProcessorSeconds,
): Promise<ControlPlaneCost> {
	const platform = new FakePlatform();
	const peers = new FakePeers(size.peers, createSyntheticInstance(0).id);
	const entry = new MeasuredEntry(program, readProcessorSeconds);
	try {
		await peers.start();
		platform.putInstances(peers.formatInstanceList());
		const text = formatSyntheticManifest(size, 0);
		const version = platform.putManifest(text);
		await entry.start(await platform.listen());
		await entry.waitForManifest(version);
		await peers.sendOwnViews(entry.peerUrl);
		await wait(times.settleMs);
		const window = await measureIdleWindow(entry, peers, times.windowMs);
		const changes = await measureManifestChanges(entry, platform, size, times.versionCount);
		const lookupCpuUs = await measureLookups(entry);
		return { ...size, ...window, ...changes, lookupCpuUs, manifestBytes: Buffer.byteLength(text) };
	} finally {
		await entry.stop();
		await peers.close();
		platform.dispose();
	}
}

type WindowCost = Pick<
	ControlPlaneCost,
	'corePercent' | 'residentMegabytes' | 'sentPerSecond' | 'receivedPerSecond' | 'exchanges'
>;

async function measureIdleWindow(
	entry: MeasuredEntry,
	peers: FakePeers,
	windowMs: number,
): Promise<WindowCost> {
	const exchangesBefore = peers.getExchangeCount();
	const startMs = performance.now();
	const before: ProcessUsage = await entry.readUsage();
	await wait(windowMs);
	const after = await entry.readUsage();
	const seconds = (performance.now() - startMs) / 1_000;
	return {
		corePercent: (percentFactor * (after.processorSeconds - before.processorSeconds)) / seconds,
		residentMegabytes: after.residentMegabytes,
		sentPerSecond: (after.sentBytes - before.sentBytes) / seconds,
		receivedPerSecond: (after.receivedBytes - before.receivedBytes) / seconds,
		exchanges: peers.getExchangeCount() - exchangesBefore,
	};
}

async function measureManifestChanges(
	entry: MeasuredEntry,
	platform: FakePlatform,
	size: FleetSize,
	versionCount: number,
): Promise<Pick<ControlPlaneCost, 'inForceMs' | 'inForceCpuMs'>> {
	const durationsMs: number[] = [];
	const before = await entry.readUsage();
	for (let variant = 1; variant <= versionCount; variant++) {
		const text = formatSyntheticManifest(size, variant);
		const startMs = performance.now();
		await entry.waitForManifest(platform.putManifest(text));
		durationsMs.push(performance.now() - startMs);
		await wait(pauseBetweenVersionsMs);
	}
	const after = await entry.readUsage();
	const sorted = durationsMs.sort((left, right) => left - right);
	return {
		inForceMs: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
		inForceCpuMs: (1_000 * (after.processorSeconds - before.processorSeconds)) / versionCount,
	};
}

/** Sends lookups over several connections and returns the CPU time per lookup in microseconds. */
async function measureLookups(entry: MeasuredEntry): Promise<number> {
	const url = new URL(entry.getLookupUrl('service-0'));
	const pool = new Pool(url.origin, { connections: lookupConnections });
	const before = await entry.readUsage();
	const sendLookups = async (): Promise<void> => {
		for (let count = 0; count < lookupCount / lookupConnections; count++) {
			const answer = await pool.request({ method: 'GET', path: `${url.pathname}${url.search}` });
			const body = await answer.body.text();
			if (answer.statusCode !== statusOk) {
				throw new Error(`lookup failed with status ${answer.statusCode}: ${body}`);
			}
		}
	};
	await Promise.all(Array.from({ length: lookupConnections }, sendLookups));
	const after = await entry.readUsage();
	await pool.close();
	return (1_000_000 * (after.processorSeconds - before.processorSeconds)) / lookupCount;
}
