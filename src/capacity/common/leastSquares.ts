/**
 * Fits a straight line to measured points. Costs of sizes that were not measured are extrapolated from the line, so
 * each fit includes its error.
 */

/** A measured point. */
export interface Point {
	readonly x: number;
	readonly y: number;
}

/** `y = intercept + slope * x`. */
export interface LineFit {
	readonly slope: number;
	readonly intercept: number;
	/** Root mean square of the residuals, in the unit of `y`. */
	readonly error: number;
	/** Largest absolute residual, in the unit of `y`. */
	readonly largestError: number;
}

/** Fits a line by least squares. Returns undefined for fewer than two different values of `x`. */
export function computeLineFit(points: readonly Point[]): LineFit | undefined {
	const meanX = computeMean(points.map(({ x }) => x));
	const meanY = computeMean(points.map(({ y }) => y));
	const squaredDeviations = computeSum(points.map(({ x }) => (x - meanX) ** 2));
	if (points.length < 2 || squaredDeviations === 0) {
		return undefined;
	}
	const slope = computeSum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / squaredDeviations;
	const intercept = meanY - slope * meanX;
	const residuals = points.map(({ x, y }) => Math.abs(y - intercept - slope * x));
	return {
		slope,
		intercept,
		error: Math.sqrt(computeMean(residuals.map(residual => residual ** 2))),
		largestError: Math.max(...residuals),
	};
}

/** Returns the value of the line at `x`. */
export function estimateAt(fit: LineFit, x: number): number {
	return fit.intercept + fit.slope * x;
}

function computeSum(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}

function computeMean(values: readonly number[]): number {
	return computeSum(values) / values.length;
}
