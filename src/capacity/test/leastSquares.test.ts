import * as fc from 'fast-check';
import { parseManifest } from '../../core/manifest/common/manifest';
import { computeLineFit, estimateAt } from '../common/leastSquares';
import { formatSyntheticManifest } from '../common/syntheticFleet';

const coefficient = fc.integer({ min: -1_000, max: 1_000 });

describe('computeLineFit', () => {
	it('finds the line that exact points lie on', () => {
		fc.assert(
			fc.property(coefficient, coefficient, (slope, intercept) => {
				const fit = computeLineFit([7, 30, 90, 180].map(x => ({ x, y: intercept + slope * x })));
				expect(fit?.slope).toBeCloseTo(slope, 6);
				expect(fit && estimateAt(fit, 360)).toBeCloseTo(intercept + 360 * slope, 4);
				expect(fit?.error).toBeCloseTo(0, 4);
			}),
			{ seed: 5, numRuns: 100 },
		);
	});

	it('returns the root mean square of the residuals, and undefined for a single point', () => {
		const fit = computeLineFit([0, 1, 0, 1].map((y, x) => ({ x, y })));
		expect(fit?.slope).toBeCloseTo(0.2, 6);
		expect(fit?.error).toBeCloseTo(0.447, 3);
		expect(computeLineFit([{ x: 3, y: 1 }])).toBeUndefined();
	});
});

describe('formatSyntheticManifest', () => {
	it('returns a valid manifest of the given size', () => {
		const manifest = parseManifest(
			formatSyntheticManifest({ targets: 890, organisations: 540 }, 3),
		)._unsafeUnwrap();
		expect(manifest.targets).toHaveLength(890);
		expect(manifest.organisations).toHaveLength(540);
	});
});
