/**
 * `npm run capacity`: measures the processor, memory and network use of the control traffic of one entry in fleets
 * of several sizes, fits lines through the results, simulates how updates spread through a fleet and prints
 * everything. docs/CAPACITY.md uses the fitted lines to estimate the costs of the planned fleet.
 */

import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { computeCostSlopes } from '../capacity/common/controlPlaneCost';
import type { ControlPlaneCost, CostSlope, FleetSize } from '../capacity/common/controlPlaneCost';
import { estimateAt } from '../capacity/common/leastSquares';
import { runGossipModel } from '../capacity/common/gossipModel';
import type { GossipResult } from '../capacity/common/gossipModel';
import { measureControlPlane } from '../capacity/node/measureControlPlane';
import { renderTable } from '../base/common/textTable';
import { readProcessorSeconds } from '../load/node/processorTime';
import { endOnSignals } from './endOnSignals';

const defaultOrganisations = 540;
const defaultTargets = 30;
const defaultPeers = 7;
/** An entry with at most 64 peers spends more on view exchanges, so small and large fleets get separate lines. */
const smallFleetPeers = [7, 30, 60];
const largeFleetPeers = [90, 180, 359];
const targetCounts = [30, 120, 445, 890];
const organisationCounts = [10, 275, 540];
/**
 * Hundreds of simulated peers in one process open about a hundred connections per second to each other and keep
 * each for a minute. A longer run would exceed the usual limit on open files of a process and fail.
 */
const largeSettleMs = 3_000;
const maxLargeWindowMs = 6_000;
const spreadNodeCounts = [8, 31, 60, 91, 181, 360];
const spreadSeeds = [1, 2, 3];
const plannedFleet = { peers: 359, targets: 890, organisations: defaultOrganisations };

function createFleetSizes(peers: readonly number[]): FleetSize[] {
	return peers.map(count => ({ peers: count, targets: defaultTargets, organisations: defaultOrganisations }));
}

function formatFigure(value: number): string {
	return Number(value.toPrecision(4)).toString();
}

function printCosts(costs: readonly ControlPlaneCost[]): void {
	const usageHeadings = [
		'peers',
		'targets',
		'organisations',
		'% of a core',
		'MB',
		'sent B/s',
		'received B/s',
	];
	const operationHeadings = [
		'manifest bytes',
		'in force ms',
		'cpu ms a change',
		'cpu us a lookup',
		'exchanges begun',
	];
	const rows = costs.map(cost =>
		[
			cost.peers,
			cost.targets,
			cost.organisations,
			cost.corePercent.toFixed(2),
			cost.residentMegabytes.toFixed(1),
			cost.sentPerSecond.toFixed(0),
			cost.receivedPerSecond.toFixed(0),
			cost.manifestBytes,
			cost.inForceMs.toFixed(1),
			cost.inForceCpuMs.toFixed(1),
			cost.lookupCpuUs.toFixed(0),
			cost.exchanges,
		].map(String),
	);
	process.stdout.write(`${renderTable([...usageHeadings, ...operationHeadings], rows)}\n\n`);
}

function printSlopes(slopes: readonly CostSlope[]): void {
	const headings = ['runs', 'over', 'figure', 'slope', 'at 0', 'rms error', 'largest error', 'at the goal'];
	const rows = slopes.map(({ runs, over, figure, fit }) => [
		runs,
		over,
		figure,
		formatFigure(fit.slope),
		formatFigure(fit.intercept),
		formatFigure(fit.error),
		formatFigure(fit.largestError),
		formatFigure(estimateAt(fit, plannedFleet[over])),
	]);
	process.stdout.write(`${renderTable(headings, rows)}\n`);
}

async function measureAll(
	sizes: readonly FleetSize[],
	times: { readonly settleMs: number; readonly windowMs: number },
): Promise<ControlPlaneCost[]> {
	const costs: ControlPlaneCost[] = [];
	for (const size of sizes) {
		const program = join(__dirname, 'entry.js');
		costs.push(await measureControlPlane(size, { ...times, versionCount: 6 }, program, readProcessorSeconds));
		process.stderr.write(`${size.peers} peers, ${size.targets} targets: done\n`);
	}
	return costs;
}

function printSpreads(spreads: readonly GossipResult[]): void {
	const headings = ['nodes', 'rounds to 90%', 'rounds to all', '% with an offer', 'suspected after s'];
	const rows = spreads.map(spread =>
		[
			spread.nodes,
			spread.roundsToMost,
			spread.roundsToAll,
			spread.offeredPercent.toFixed(0),
			spread.suspectAfterSeconds.toFixed(0),
		].map(String),
	);
	process.stdout.write(`\n${renderTable(headings, rows)}\n`);
}

/** Measures fleets of all sizes and fits lines through the results. */
async function measureFleets(windowMs: number): Promise<{
	readonly costs: readonly ControlPlaneCost[];
	readonly slopes: readonly CostSlope[];
}> {
	const times = { settleMs: 4_000, windowMs };
	const small = await measureAll(createFleetSizes(smallFleetPeers), times);
	const largeTimes = { settleMs: largeSettleMs, windowMs: Math.min(windowMs, maxLargeWindowMs) };
	const large = await measureAll(createFleetSizes(largeFleetPeers), largeTimes);
	const shortTimes = { settleMs: 2_000, windowMs: windowMs / 2 };
	const byTargets = await measureAll(
		targetCounts.map(targets => ({ peers: defaultPeers, targets, organisations: defaultOrganisations })),
		shortTimes,
	);
	const byOrganisations = await measureAll(
		organisationCounts.map(count => ({ peers: defaultPeers, targets: defaultTargets, organisations: count })),
		shortTimes,
	);
	const planned = await measureAll([plannedFleet], largeTimes);
	return {
		costs: [...small, ...large, ...byTargets, ...byOrganisations, ...planned],
		slopes: [
			...computeCostSlopes('small fleets', 'peers', small),
			...computeCostSlopes('large fleets', 'peers', large),
			...computeCostSlopes('targets', 'targets', byTargets),
			...computeCostSlopes('organisations', 'organisations', byOrganisations),
		],
	};
}

async function runCapacity(): Promise<void> {
	const { default: yargs } = await import('yargs');
	const options = await yargs(process.argv.slice(2))
		.scriptName('npm run capacity --')
		.option('json', { type: 'string', describe: 'also write the results and the fitted lines to this file' })
		.option('window-ms', {
			type: 'number',
			default: 8_000,
			describe: 'duration of the measurement of each fleet, in milliseconds',
		})
		.option('fleets', {
			type: 'boolean',
			default: true,
			describe: 'measure an entry; --no-fleets runs only the model',
		})
		.strict()
		.parseAsync();
	const measured = options.fleets ? await measureFleets(options['window-ms']) : { costs: [], slopes: [] };
	const spreads = spreadNodeCounts.flatMap(nodes => spreadSeeds.map(seed => runGossipModel(nodes, seed)));
	printCosts(measured.costs);
	printSlopes(measured.slopes);
	printSpreads(spreads);
	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify({ ...measured, spreads }, undefined, '\t'));
	}
}

endOnSignals();
void runCapacity().catch((error: unknown) => {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = 1;
});
