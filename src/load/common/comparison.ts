/**
 * A comparison of ways to the same target within one run. Rounds alternate between the ways and shift
 * their order each time, since a machine's speed drifts by more than the differences sought: figures from
 * separate runs would compare the minutes in which they were taken. Ratios are taken within each round
 * and told with their spread over the rounds.
 */

import type { LoadSummary } from './loadStatistics';
import { formatMs } from './loadReport';
import { renderTable } from '../../base/common/textTable';

/** A way from the caller to the target. */
export enum Way {
	Direct = 'direct',
	/** Through the bare pass-through. */
	Baseline = 'baseline',
	/** Through an anvilroad entry. */
	Entry = 'entry',
}

/** What one way gave in one round. */
export interface WayResult {
	readonly way: Way;
	/** The open part: latencies at a fixed rate. */
	readonly open: LoadSummary;
	/** The closed part: as many requests as the connections carry. */
	readonly closed: LoadSummary;
	/** Processor seconds that the process between caller and target spent on the closed part. */
	readonly closedProcessorSeconds: number | undefined;
}

export type Round = readonly WayResult[];

/** A value over the rounds. */
export interface Spread {
	readonly median: number;
	readonly least: number;
	readonly most: number;
}

/** One figure of one way against another. */
export interface RatioLine {
	readonly figure: string;
	readonly of: Way;
	readonly to: Way;
	readonly spread: Spread;
}

/** One figure of one way. */
export interface FigureLine {
	readonly way: Way;
	readonly p50Ms: Spread;
	readonly p99Ms: Spread;
	readonly okPerSecond: Spread;
	readonly okPerCoreSecond: Spread | undefined;
	readonly failed: number;
}

/** The whole comparison, as it goes into the JSON file. */
export interface ComparisonReport {
	readonly rounds: readonly Round[];
	readonly figures: readonly FigureLine[];
	readonly ratios: readonly RatioLine[];
}

type Figure = (result: WayResult) => number | undefined;

const figures: Readonly<Record<string, Figure>> = {
	p50: result => result.open.p50Ms,
	p99: result => result.open.p99Ms,
	'requests/s/core': computeOkPerCoreSecond,
};

/** The order of the ways in a round: each way takes each place equally often. */
export function orderWays(ways: readonly Way[], roundIndex: number): Way[] {
	const first = roundIndex % ways.length;
	return [...ways.slice(first), ...ways.slice(0, first)];
}

/** Right answers for each second of one core. */
export function computeOkPerCoreSecond(result: WayResult): number | undefined {
	const seconds = result.closedProcessorSeconds;
	return seconds === undefined || seconds <= 0 ? undefined : result.closed.ok / seconds;
}

/** Median and range; undefined for no values. */
export function computeSpread(values: readonly number[]): Spread | undefined {
	const sorted = [...values].sort((left, right) => left - right);
	const least = sorted[0];
	const most = sorted.at(-1);
	const lower = sorted[Math.floor((sorted.length - 1) / 2)];
	const upper = sorted[Math.floor(sorted.length / 2)];
	if (least === undefined || most === undefined || lower === undefined || upper === undefined) {
		return undefined;
	}
	return { least, most, median: (lower + upper) / 2 };
}

/** Sums up the rounds. */
export function createReport(rounds: readonly Round[]): ComparisonReport {
	const ways = [Way.Direct, Way.Baseline, Way.Entry].filter(way => listResults(rounds, way).length > 0);
	const pairs = ways.flatMap((to, index) => ways.slice(index + 1).map(of => ({ of, to })));
	return {
		rounds,
		figures: ways.map(way => createFigureLine(rounds, way)),
		ratios: Object.entries(figures).flatMap(([name, figure]) =>
			pairs.flatMap(({ of, to }) => createRatioLines(rounds, name, figure, of, to)),
		),
	};
}

/** The two tables of a comparison. */
export function renderReport(report: ComparisonReport): string {
	const figureHead = ['way', 'p50', 'p99', 'ok/s (closed)', 'requests/s/core', 'failed'];
	const figureRows = report.figures.map(line => [
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
		renderTable(figureHead, figureRows),
		'',
		renderTable(ratioHead, ratioRows),
	].join('\n');
}

function listResults(rounds: readonly Round[], way: Way): WayResult[] {
	return rounds.flatMap(round => round.filter(result => result.way === way));
}

function createFigureLine(rounds: readonly Round[], way: Way): FigureLine {
	const results = listResults(rounds, way);
	const none: Spread = { median: 0, least: 0, most: 0 };
	const measureSpread = (figure: Figure): Spread | undefined =>
		computeSpread(results.flatMap(result => figure(result) ?? []));
	return {
		way,
		p50Ms: measureSpread(result => result.open.p50Ms) ?? none,
		p99Ms: measureSpread(result => result.open.p99Ms) ?? none,
		okPerSecond: measureSpread(result => result.closed.okPerSecond) ?? none,
		okPerCoreSecond: measureSpread(computeOkPerCoreSecond),
		failed: results.reduce((sum, { open, closed }) => sum + countWrong(open) + countWrong(closed), 0),
	};
}

function countWrong(summary: LoadSummary): number {
	return summary.failed + summary.refused;
}

function createRatioLines(
	rounds: readonly Round[],
	figureName: string,
	figure: Figure,
	of: Way,
	to: Way,
): RatioLine[] {
	const ratios = rounds.flatMap(round => {
		const upper = round.filter(result => result.way === of).flatMap(result => figure(result) ?? [])[0];
		const lower = round.filter(result => result.way === to).flatMap(result => figure(result) ?? [])[0];
		return upper === undefined || lower === undefined || lower === 0 ? [] : [upper / lower];
	});
	const spread = computeSpread(ratios);
	return spread === undefined ? [] : [{ figure: figureName, of, to, spread }];
}
