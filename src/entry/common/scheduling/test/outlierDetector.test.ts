import { SeededRandom } from '../../../../base/common/random';
import type { TargetId } from '../../../../core/ids/common/ids';
import { OutlierDetector } from '../outlierDetector';
import { defaultSchedulingPolicy } from '../policy';

const targets = Array.from({ length: 8 }, (_, index) => `t${index}` as TargetId);
const [slow = '' as TargetId] = targets;
const expectedMs = 300;

function createDetector(): OutlierDetector {
	const detector = new OutlierDetector(defaultSchedulingPolicy.outlierDetection);
	detector.setTargets(targets);
	return detector;
}

/** Returns a run time that varies around the expected time by a factor of two (log-normal). */
function pickRunMs(random: SeededRandom): number {
	const normal =
		Math.sqrt(-2 * Math.log(1 - random.pickFraction())) * Math.cos(2 * Math.PI * random.pickFraction());
	return expectedMs * Math.exp(0.7 * normal);
}

function noteRuns(
	detector: OutlierDetector,
	random: SeededRandom,
	runs: number,
	factors: Map<TargetId, number>,
): void {
	for (let run = 0; run < runs; run++) {
		for (const target of targets) {
			detector.recordRun(target, pickRunMs(random) * (factors.get(target) ?? 1), expectedMs);
		}
		detector.compare();
	}
}

describe('OutlierDetector', () => {
	// A target answers five times slower. If it stayed in use, the slowest hundredth of all callers would wait for it.
	it('ejects a slow target within twelve runs and allows only trial requests', () => {
		const detector = createDetector();
		noteRuns(detector, new SeededRandom(1), 12, new Map([[slow, 5]]));
		expect(targets.filter(target => detector.isEjected(target))).toEqual([slow]);
		expect(detector.isTrialDue(slow, 0)).toBe(true);
		detector.beginTrial(slow, 0);
		detector.endTrial(slow);
		expect(detector.isTrialDue(slow, 3_900)).toBe(false);
		expect(detector.isTrialDue(slow, 4_000)).toBe(true);
	});

	it('returns an ejected target to use when its trials are as fast as its peers', () => {
		const detector = createDetector();
		const random = new SeededRandom(2);
		noteRuns(detector, random, 20, new Map([[slow, 5]]));
		noteRuns(detector, random, 8, new Map());
		expect(detector.isEjected(slow)).toBe(false);
	});

	// The whole service slows down, for example with a new model. A fixed limit would eject every target.
	it('ejects no target when all are slow', () => {
		const detector = createDetector();
		noteRuns(detector, new SeededRandom(3), 100, new Map(targets.map(target => [target, 5])));
		expect(detector.hasEjected()).toBe(false);
	});

	it('never ejects more than a third of the targets', () => {
		const detector = createDetector();
		const slowFactors = new Map(targets.slice(0, 3).map(target => [target, 8]));
		noteRuns(detector, new SeededRandom(4), 50, slowFactors);
		expect(targets.filter(target => detector.isEjected(target)).length).toBeLessThanOrEqual(2);
	});

	it('ejects no healthy target with any of a thousand seeds', () => {
		let ejected = 0;
		for (let seed = 1; seed <= 1_000; seed++) {
			const detector = createDetector();
			const random = new SeededRandom(seed * 7_919);
			for (let step = 0; step < 5; step++) {
				noteRuns(detector, random, 20, new Map());
				ejected += targets.some(target => detector.isEjected(target)) ? 1 : 0;
			}
		}
		expect(ejected).toBe(0);
	});
});
