/**
 * `npm run capacity`: measures what control costs one entry in fleets of several sizes, fits lines through
 * the figures, runs the model of how news spreads and prints all. docs/CAPACITY.md reads the fleet to come
 * off these lines.
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

/** By custom 128 and the number of SIGINT. */
const exitCodeInterrupted = 130;
const organisations = 540;
const fewTargets = 30;
const fewPeers = 7;
/** Up to 64 others an entry spends more on views, so two lines are fitted. */
const smallFleets = [7, 30, 60];
const largeFleets = [90, 180, 359];
const targetCounts = [30, 120, 445, 890];
const organisationCounts = [10, 275, 540];
/**
 * Hundreds of peers in one process open some hundred connections a second among each other and keep each for
 * a minute; a longer run needs more open files than a process commonly may have, and fails.
 */
const largeSettleMs = 3_000;
const longestLargeWindowMs = 6_000;
const spreadNodes = [8, 31, 60, 91, 181, 360];
const spreadSeeds = [1, 2, 3];
const goal = { peers: 359, targets: 890, organisations };

function createSizes(peers: readonly number[]): FleetSize[] {
	return peers.map(count => ({ peers: count, targets: fewTargets, organisations }));
}

function formatFigure(value: number): string {
	return Number(value.toPrecision(4)).toString();
}

function printCosts(costs: readonly ControlPlaneCost[]): void {
	const head = ['peers', 'targets', 'organisations', '% of a core', 'MB', 'sent B/s', 'received B/s'];
	const more = ['manifest bytes', 'in force ms', 'cpu ms a change', 'cpu us a lookup', 'exchanges begun'];
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
	process.stdout.write(`${renderTable([...head, ...more], rows)}\n\n`);
}

function printSlopes(slopes: readonly CostSlope[]): void {
	const head = ['runs', 'over', 'figure', 'slope', 'at 0', 'rms error', 'largest error', 'at the goal'];
	const rows = slopes.map(({ runs, over, figure, fit }) => [
		runs,
		over,
		figure,
		formatFigure(fit.slope),
		formatFigure(fit.intercept),
		formatFigure(fit.error),
		formatFigure(fit.largestError),
		formatFigure(estimateAt(fit, goal[over])),
	]);
	process.stdout.write(`${renderTable(head, rows)}\n`);
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
	const head = ['nodes', 'rounds to 90%', 'rounds to all', '% with an offer', 'suspected after s'];
	const rows = spreads.map(spread =>
		[
			spread.nodes,
			spread.roundsToMost,
			spread.roundsToAll,
			spread.offeredPercent.toFixed(0),
			spread.suspectAfterSeconds.toFixed(0),
		].map(String),
	);
	process.stdout.write(`\n${renderTable(head, rows)}\n`);
}

/** All fleets that are measured and the lines through them. */
async function measureFleets(windowMs: number): Promise<{
	readonly costs: readonly ControlPlaneCost[];
	readonly slopes: readonly CostSlope[];
}> {
	const times = { settleMs: 4_000, windowMs };
	const small = await measureAll(createSizes(smallFleets), times);
	const largeTimes = { settleMs: largeSettleMs, windowMs: Math.min(windowMs, longestLargeWindowMs) };
	const large = await measureAll(createSizes(largeFleets), largeTimes);
	const shortTimes = { settleMs: 2_000, windowMs: windowMs / 2 };
	const byTargets = await measureAll(
		targetCounts.map(targets => ({ peers: fewPeers, targets, organisations })),
		shortTimes,
	);
	const byOrganisations = await measureAll(
		organisationCounts.map(count => ({ peers: fewPeers, targets: fewTargets, organisations: count })),
		shortTimes,
	);
	const whole = await measureAll([goal], largeTimes);
	return {
		costs: [...small, ...large, ...byTargets, ...byOrganisations, ...whole],
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
		.option('json', { type: 'string', describe: 'also write the figures and the lines to this file' })
		.option('window-ms', { type: 'number', default: 8_000, describe: 'how long each fleet is measured' })
		.option('fleets', { type: 'boolean', default: true, describe: 'measure the entry; else only the model' })
		.strict()
		.parseAsync();
	const measured = options.fleets ? await measureFleets(options['window-ms']) : { costs: [], slopes: [] };
	const spreads = spreadNodes.flatMap(nodes => spreadSeeds.map(seed => runGossipModel(nodes, seed)));
	printCosts(measured.costs);
	printSlopes(measured.slopes);
	printSpreads(spreads);
	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify({ ...measured, spreads }, undefined, '\t'));
	}
}

/** Node's own end by a signal runs no exit handlers, and the measured entry would stay behind. */
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(exitCodeInterrupted);
	});
}

void runCapacity().catch((error: unknown) => {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = 1;
});
