/**
 * The measured cost of the control plane for one entry, and line fits of each metric over the size of the fleet.
 */

import type { LineFit, Point } from './leastSquares';
import { computeLineFit } from './leastSquares';

/** Size of the fleet around the measured entry, which is not counted in `peers`. */
export interface FleetSize {
	readonly peers: number;
	readonly targets: number;
	readonly organisations: number;
}

/** The measurements for one fleet size. */
export interface ControlPlaneCost extends FleetSize {
	/** CPU time in percent of one core. */
	readonly corePercent: number;
	/** Resident memory at the end of the measurement window, in megabytes. */
	readonly residentMegabytes: number;
	/** Bytes per second that the process passed to write and read system calls. */
	readonly sentPerSecond: number;
	readonly receivedPerSecond: number;
	/** Size of the manifest text, in bytes. */
	readonly manifestBytes: number;
	/** Median time from the publication of a manifest version until the entry applies it, in milliseconds. */
	readonly inForceMs: number;
	/** CPU time for applying one manifest version, in milliseconds. */
	readonly inForceCpuMs: number;
	/** CPU time for one lookup of entries by a caller, in microseconds. */
	readonly lookupCpuUs: number;
	/** Exchanges that the entry started with the fake peers in the window. With 0, the run is not valid. */
	readonly exchanges: number;
}

export type CostMetric = keyof Omit<ControlPlaneCost, keyof FleetSize | 'exchanges'>;

export const costMetrics: readonly CostMetric[] = [
	'corePercent',
	'residentMegabytes',
	'sentPerSecond',
	'receivedPerSecond',
	'manifestBytes',
	'inForceMs',
	'inForceCpuMs',
	'lookupCpuUs',
];

/** Line fit of one metric over one dimension of the fleet size. */
export interface CostSlope {
	/** Name of the series of runs that the line is fitted to. */
	readonly runs: string;
	readonly over: keyof FleetSize;
	readonly figure: CostMetric;
	readonly fit: LineFit;
}

/** Fits a line to every metric over one dimension of the fleet size. */
export function computeCostSlopes(
	runs: string,
	over: keyof FleetSize,
	costs: readonly ControlPlaneCost[],
): readonly CostSlope[] {
	return costMetrics.flatMap(metric => {
		const points: Point[] = costs.map(cost => ({ x: cost[over], y: cost[metric] }));
		const fit = computeLineFit(points);
		return fit === undefined ? [] : [{ runs, over, figure: metric, fit }];
	});
}
