import type { Round, RouteResult, Spread } from '../common/comparison';
import {
	computeSpread,
	createComparisonReport,
	orderRoutes,
	renderComparisonReport,
	Route,
} from '../common/comparison';
import { createSummary } from './fixtures';

function createResult(route: Route, p50Ms: number, closedProcessorSeconds?: number): RouteResult {
	return {
		way: route,
		open: createSummary({ p50Ms, p99Ms: p50Ms * 2 }),
		closed: createSummary(),
		closedProcessorSeconds,
	};
}

function createRounds(): Round[] {
	return [1, 2, 3].map(factor => [
		createResult(Route.Direct, 1),
		createResult(Route.Baseline, 2, 1),
		createResult(Route.Entry, 2 * factor, 2),
	]);
}

describe('createComparisonReport', () => {
	it('computes ratios within each round and their spread over the rounds', () => {
		const { ratios } = createComparisonReport(createRounds());
		const find = (figure: string, to: Route): Spread | undefined =>
			ratios.find(line => line.figure === figure && line.of === Route.Entry && line.to === to)?.spread;
		expect(find('p50', Route.Baseline)).toEqual({ median: 2, least: 1, most: 3 });
		expect(find('p99', Route.Direct)).toEqual({ median: 4, least: 2, most: 6 });
		expect(find('requests/s/core', Route.Baseline)).toEqual({ median: 0.5, least: 0.5, most: 0.5 });
		expect(find('requests/s/core', Route.Direct)).toBeUndefined();
	});

	it('counts failed and refused requests of all parts', () => {
		const unsuccessful = {
			...createResult(Route.Entry, 1),
			closed: createSummary({ failed: 2, refused: 1 }),
		};
		expect(createComparisonReport([[unsuccessful]]).figures[0]?.failed).toBe(3);
		expect(renderComparisonReport(createComparisonReport([[unsuccessful]]))).toContain('1 rounds');
	});
});

describe('orderRoutes', () => {
	it('puts each route in each position', () => {
		const routes = [Route.Direct, Route.Baseline, Route.Entry];
		const positions = [0, 1, 2].map(round => orderRoutes(routes, round).indexOf(Route.Entry));
		expect(new Set(positions).size).toBe(3);
	});
});

describe('computeSpread', () => {
	it('averages the two middle values of an even count', () => {
		expect(computeSpread([4, 1, 3, 2])).toEqual({ median: 2.5, least: 1, most: 4 });
		expect(computeSpread([])).toBeUndefined();
	});
});
