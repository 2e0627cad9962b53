import type { Round, Spread, WayResult } from '../common/comparison';
import { computeSpread, createReport, orderWays, renderReport, Way } from '../common/comparison';
import { createSummary } from './fixtures';

function createResult(way: Way, p50Ms: number, closedProcessorSeconds?: number): WayResult {
	return {
		way,
		open: createSummary({ p50Ms, p99Ms: p50Ms * 2 }),
		closed: createSummary(),
		closedProcessorSeconds,
	};
}

function createRounds(): Round[] {
	return [1, 2, 3].map(factor => [
		createResult(Way.Direct, 1),
		createResult(Way.Baseline, 2, 1),
		createResult(Way.Entry, 2 * factor, 2),
	]);
}

describe('createReport', () => {
	it('takes ratios within each round and tells their spread', () => {
		const { ratios } = createReport(createRounds());
		const find = (figure: string, to: Way): Spread | undefined =>
			ratios.find(line => line.figure === figure && line.of === Way.Entry && line.to === to)?.spread;
		expect(find('p50', Way.Baseline)).toEqual({ median: 2, least: 1, most: 3 });
		expect(find('p99', Way.Direct)).toEqual({ median: 4, least: 2, most: 6 });
		expect(find('requests/s/core', Way.Baseline)).toEqual({ median: 0.5, least: 0.5, most: 0.5 });
		expect(find('requests/s/core', Way.Direct)).toBeUndefined();
	});

	it('counts a request that went wrong in any part', () => {
		const spoiled = { ...createResult(Way.Entry, 1), closed: createSummary({ failed: 2, refused: 1 }) };
		expect(createReport([[spoiled]]).figures[0]?.failed).toBe(3);
		expect(renderReport(createReport([[spoiled]]))).toContain('1 rounds');
	});
});

describe('orderWays', () => {
	it('lets each way take each place', () => {
		const ways = [Way.Direct, Way.Baseline, Way.Entry];
		const places = [0, 1, 2].map(round => orderWays(ways, round).indexOf(Way.Entry));
		expect(new Set(places).size).toBe(3);
	});
});

describe('computeSpread', () => {
	it('takes the mean of the middle two of an even count', () => {
		expect(computeSpread([4, 1, 3, 2])).toEqual({ median: 2.5, least: 1, most: 4 });
		expect(computeSpread([])).toBeUndefined();
	});
});
