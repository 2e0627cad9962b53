import { computeRank, computeUrgency } from '../requestPriority';

describe('the priority of an organisation', () => {
	// Guards against short questions that wait behind long prompts because their organisations have the same priority.
	it('leaves the order of the routes as it is among organisations with the same priority', () => {
		const urgencies = [0, 1, 2, 7].map(route => computeUrgency({ organisation: 1, route }));
		expect(urgencies).toEqual([...urgencies].sort((left, right) => left - right));
		expect(new Set(urgencies).size).toBe(4);
		expect([0, 1, 2, 7].map(route => computeRank(1, route))).toEqual([3, 4, 5, 5]);
	});

	it('goes before the priority of any route', () => {
		expect(computeUrgency({ organisation: 0, route: 9 })).toBeLessThan(
			computeUrgency({ organisation: 1, route: 0 }),
		);
		expect(computeRank(0, 9)).toBeLessThan(computeRank(1, 0));
	});

	it('changes nothing if the organisation has none', () => {
		expect([0, 1, 2].map(route => computeUrgency({ organisation: undefined, route }))).toEqual([0, 1, 2]);
	});
});
