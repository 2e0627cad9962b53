/**
 * A straight line through measured points. What a size that was not measured will cost is read off it, so
 * the fit's own error stands beside each slope.
 */

/** One measured point. */
export interface Point {
	readonly x: number;
	readonly y: number;
}

/** `y = intercept + slope * x`. */
export interface LineFit {
	readonly slope: number;
	readonly intercept: number;
	/** Root mean square of the distances from the line, in the unit of `y`. */
	readonly error: number;
	/** The largest distance of a point from the line. */
	readonly largestError: number;
}

/** Fits by least squares; undefined for fewer than two different `x`. */
export function computeLineFit(points: readonly Point[]): LineFit | undefined {
	const meanX = computeMean(points.map(({ x }) => x));
	const meanY = computeMean(points.map(({ y }) => y));
	const spread = computeSum(points.map(({ x }) => (x - meanX) ** 2));
	if (points.length < 2 || spread === 0) {
		return undefined;
	}
	const slope = computeSum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / spread;
	const intercept = meanY - slope * meanX;
	const distances = points.map(({ x, y }) => Math.abs(y - intercept - slope * x));
	return {
		slope,
		intercept,
		error: Math.sqrt(computeMean(distances.map(distance => distance ** 2))),
		largestError: Math.max(...distances),
	};
}

/** The value that the line gives. */
export function estimateAt(fit: LineFit, x: number): number {
	return fit.intercept + fit.slope * x;
}

function computeSum(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}

function computeMean(values: readonly number[]): number {
	return computeSum(values) / values.length;
}
