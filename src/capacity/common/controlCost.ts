/**
 * What control costs one entry, as measured, and the lines through it.
 */

import type { LineFit, Point } from './leastSquares';
import { computeLineFit } from './leastSquares';

/** The fleet around the entry that is measured. */
export interface FleetSize {
	readonly peers: number;
	readonly targets: number;
	readonly organisations: number;
}

/** One measured fleet. */
export interface ControlCost extends FleetSize {
	/** Processor time in percent of a core. */
	readonly corePercent: number;
	/** Resident memory at the end, in megabytes. */
	readonly residentMegabytes: number;
	/** Bytes a second that the process wrote and read, system calls counted. */
	readonly sentPerSecond: number;
	readonly receivedPerSecond: number;
	/** Bytes of the manifest's text. */
	readonly manifestBytes: number;
	/** From publishing a version to its being in force, in milliseconds; the median of some. */
	readonly inForceMs: number;
	/** Processor milliseconds that taking one version over cost. */
	readonly inForceCpuMs: number;
	/** Processor microseconds that a lookup of a caller cost. */
	readonly lookupCpuUs: number;
	/** Views that the fake peers received from the entry in the window; 0 would make the run worthless. */
	readonly exchanges: number;
}

export type CostFigure = keyof Omit<ControlCost, keyof FleetSize | 'exchanges'>;

export const costFigures: readonly CostFigure[] = [
	'corePercent',
	'residentMegabytes',
	'sentPerSecond',
	'receivedPerSecond',
	'manifestBytes',
	'inForceMs',
	'inForceCpuMs',
	'lookupCpuUs',
];

/** One figure's line over one size. */
export interface CostSlope {
	/** Which runs it goes through. */
	readonly runs: string;
	readonly over: keyof FleetSize;
	readonly figure: CostFigure;
	readonly fit: LineFit;
}

/** Fits every figure over one size. */
export function computeSlopes(
	runs: string,
	over: keyof FleetSize,
	costs: readonly ControlCost[],
): readonly CostSlope[] {
	return costFigures.flatMap(figure => {
		const points: Point[] = costs.map(cost => ({ x: cost[over], y: cost[figure] }));
		const fit = computeLineFit(points);
		return fit === undefined ? [] : [{ runs, over, figure, fit }];
	});
}
