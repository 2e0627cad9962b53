/**
 * Compares several routes to the same target within one run. The speed of a machine varies over time by more than
 * the routes differ, so results of separate runs are not comparable. Each round therefore measures every route, in
 * an order that rotates from round to round. Ratios are computed within each round and reported as their median and
 * range over the rounds.
 */

import type { LoadSummary } from './loadStatistics';
import { formatMs } from './loadReport';
import { renderTable } from '../../base/common/textTable';

/** A route from the caller to the target. */
export enum Route {
	Direct = 'direct',
	/** Through a minimal reverse proxy, see `passThrough.ts`. */
	Baseline = 'baseline',
	/** Through an `anvilroad-entry` process. */
	Entry = 'entry',
}

/** The measurements of one route in one round. */
export interface RouteResult {
	readonly way: Route;
	/** Open-loop part: latencies at a fixed request rate. */
	readonly open: LoadSummary;
	/** Closed-loop part: each connection sends its next request as soon as its last one is answered. */
	readonly closed: LoadSummary;
	/** CPU seconds that the process between caller and target used during the closed-loop part, if known. */
	readonly closedProcessorSeconds: number | undefined;
}

export type Round = readonly RouteResult[];

/** Median and range of a metric over all rounds. */
export interface Spread {
	readonly median: number;
	readonly least: number;
	readonly most: number;
}

/** A metric of route `of` divided by the same metric of route `to`. */
export interface MetricRatio {
	readonly figure: string;
	readonly of: Route;
	readonly to: Route;
	readonly spread: Spread;
}

/** The metrics of one route over all rounds. */
export interface RouteMetrics {
	readonly way: Route;
	readonly p50Ms: Spread;
	readonly p99Ms: Spread;
	readonly okPerSecond: Spread;
	readonly okPerCoreSecond: Spread | undefined;
	readonly failed: number;
}

/** The comparison as written to the JSON file. */
export interface ComparisonReport {
	readonly rounds: readonly Round[];
	readonly figures: readonly RouteMetrics[];
	readonly ratios: readonly MetricRatio[];
}

type Metric = (result: RouteResult) => number | undefined;

const ratioMetrics: Readonly<Record<string, Metric>> = {
	p50: result => result.open.p50Ms,
	p99: result => result.open.p99Ms,
	'requests/s/core': computeOkPerCoreSecond,
};

/** Returns the order of the routes in a round. It rotates, so that each route takes each position equally often. */
export function orderRoutes(routes: readonly Route[], roundIndex: number): Route[] {
	const first = roundIndex % routes.length;
	return [...routes.slice(first), ...routes.slice(0, first)];
}

/** Returns the number of correct answers per CPU second, or undefined if the CPU time is unknown. */
export function computeOkPerCoreSecond(result: RouteResult): number | undefined {
	const seconds = result.closedProcessorSeconds;
	return seconds === undefined || seconds <= 0 ? undefined : result.closed.ok / seconds;
}

/** Returns the median and the range of the values, or undefined if there are none. */
export function computeSpread(values: readonly number[]): Spread | undefined {
	const sorted = [...values].sort((left, right) => left - right);
	const least = sorted[0];
	const most = sorted.at(-1);
	const lowerMiddle = sorted[Math.floor((sorted.length - 1) / 2)];
	const upperMiddle = sorted[Math.floor(sorted.length / 2)];
	if (least === undefined || most === undefined || lowerMiddle === undefined || upperMiddle === undefined) {
		return undefined;
	}
	return { least, most, median: (lowerMiddle + upperMiddle) / 2 };
}

/** Summarizes the rounds of a comparison. */
export function createComparisonReport(rounds: readonly Round[]): ComparisonReport {
	const routes = [Route.Direct, Route.Baseline, Route.Entry].filter(
		route => listResults(rounds, route).length > 0,
	);
	const pairs = routes.flatMap((to, index) => routes.slice(index + 1).map(of => ({ of, to })));
	return {
		rounds,
		figures: routes.map(route => createRouteMetrics(rounds, route)),
		ratios: Object.entries(ratioMetrics).flatMap(([name, metric]) =>
			pairs.flatMap(({ of, to }) => createMetricRatios(rounds, name, metric, of, to)),
		),
	};
}

/** Formats a comparison as two text tables: the metrics of each route, and the ratios between routes. */
export function renderComparisonReport(report: ComparisonReport): string {
	const metricHead = ['way', 'p50', 'p99', 'ok/s (closed)', 'requests/s/core', 'failed'];
	const metricRows = report.figures.map(line => [
		line.way,
		formatMs(line.p50Ms.median),
		formatMs(line.p99Ms.median),
		line.okPerSecond.median.toFixed(0),
		line.okPerCoreSecond?.median.toFixed(0) ?? '-',
		String(line.failed),
	]);
	const ratioHead = ['ratio', 'of', 'to', 'median', 'least', 'most'];
	const ratioRows = report.ratios.map(({ figure, of, to, spread }) => [
		figure,
		of,
		to,
		...[spread.median, spread.least, spread.most].map(value => value.toFixed(2)),
	]);
	return [
		`${report.rounds.length} rounds; medians over the rounds`,
		renderTable(metricHead, metricRows),
		'',
		renderTable(ratioHead, ratioRows),
	].join('\n');
}

function listResults(rounds: readonly Round[], route: Route): RouteResult[] {
	return rounds.flatMap(round => round.filter(result => result.way === route));
}

function createRouteMetrics(rounds: readonly Round[], route: Route): RouteMetrics {
	const results = listResults(rounds, route);
	const none: Spread = { median: 0, least: 0, most: 0 };
	const computeMetricSpread = (metric: Metric): Spread | undefined =>
		computeSpread(results.flatMap(result => metric(result) ?? []));
	return {
		way: route,
		p50Ms: computeMetricSpread(result => result.open.p50Ms) ?? none,
		p99Ms: computeMetricSpread(result => result.open.p99Ms) ?? none,
		okPerSecond: computeMetricSpread(result => result.closed.okPerSecond) ?? none,
		okPerCoreSecond: computeMetricSpread(computeOkPerCoreSecond),
		failed: results.reduce(
			(sum, { open, closed }) => sum + countUnsuccessful(open) + countUnsuccessful(closed),
			0,
		),
	};
}

function countUnsuccessful(summary: LoadSummary): number {
	return summary.failed + summary.refused;
}

function createMetricRatios(
	rounds: readonly Round[],
	metricName: string,
	metric: Metric,
	of: Route,
	to: Route,
): MetricRatio[] {
	const ratios = rounds.flatMap(round => {
		const numerator = round.filter(result => result.way === of).flatMap(result => metric(result) ?? [])[0];
		const denominator = round.filter(result => result.way === to).flatMap(result => metric(result) ?? [])[0];
		return numerator === undefined || denominator === undefined || denominator === 0
			? []
			: [numerator / denominator];
	});
	const spread = computeSpread(ratios);
	return spread === undefined ? [] : [{ figure: metricName, of, to, spread }];
}
