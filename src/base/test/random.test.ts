import { SeededRandom } from '../common/random';

describe('SeededRandom', () => {
	it('gives the same draws for the same seed and others for another', () => {
		const draw = (seed: number): number[] => {
			const random = new SeededRandom(seed);
			return Array.from({ length: 5 }, () => random.pickFraction());
		};
		expect(draw(3)).toEqual(draw(3));
		expect(draw(3)).not.toEqual(draw(4));
	});

	it('starts small seeds with draws that are spread out', () => {
		// Small seeds fill few bits of the generator. Unspread, every run from a small seed would begin with
		// draws close to 1, and tests over "a hundred seeds" would try one start a hundred times.
		const firsts = Array.from({ length: 200 }, (_, seed) => new SeededRandom(seed + 1).pickFraction());
		const mean = firsts.reduce((sum, value) => sum + value, 0) / firsts.length;
		expect(mean).toBeGreaterThan(0.4);
		expect(mean).toBeLessThan(0.6);
	});
});
