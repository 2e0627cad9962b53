import { SeededRandom } from '../../../../base/common/random';
import type { TargetId } from '../../../../core/ids/common/ids';
import { defaultSchedulingPolicy } from '../policy';
import { OutlierDetector } from '../outlierDetector';

const targets = Array.from({ length: 8 }, (_, index) => `t${index}` as TargetId);
const [slow = '' as TargetId] = targets;
const expectedMs = 300;

function createSpeed(): OutlierDetector {
	const speed = new OutlierDetector(defaultSchedulingPolicy.outlierDetection);
	speed.setTargets(targets);
	return speed;
}

/** A run time that varies by a factor of two about the expected one. */
function pickRunMs(random: SeededRandom): number {
	const normal =
		Math.sqrt(-2 * Math.log(1 - random.pickFraction())) * Math.cos(2 * Math.PI * random.pickFraction());
	return expectedMs * Math.exp(0.7 * normal);
}

function noteRuns(
	speed: OutlierDetector,
	random: SeededRandom,
	runs: number,
	factors: Map<TargetId, number>,
): void {
	for (let run = 0; run < runs; run++) {
		for (const target of targets) {
			speed.recordRun(target, pickRunMs(random) * (factors.get(target) ?? 1), expectedMs);
		}
		speed.compare();
	}
}

describe('TargetSpeed', () => {
	// A target answers five times slower. Left in use, the slowest hundredth of all callers waits for it.
	it('finds a slow target within twelve runs and gives it trial requests only', () => {
		const speed = createSpeed();
		noteRuns(speed, new SeededRandom(1), 12, new Map([[slow, 5]]));
		expect(targets.filter(target => speed.isEjected(target))).toEqual([slow]);
		expect(speed.isTrialDue(slow, 0)).toBe(true);
		speed.beginTrial(slow, 0);
		speed.endTrial(slow);
		expect(speed.isTrialDue(slow, 3_900)).toBe(false);
		expect(speed.isTrialDue(slow, 4_000)).toBe(true);
	});

	it('uses it again when its trials are as fast as its peers', () => {
		const speed = createSpeed();
		const random = new SeededRandom(2);
		noteRuns(speed, random, 20, new Map([[slow, 5]]));
		noteRuns(speed, random, 8, new Map());
		expect(speed.isEjected(slow)).toBe(false);
	});

	// The whole service slows down, by a new model or a full night. A fixed limit would eject every target.
	it('avoids none when all are slow', () => {
		const speed = createSpeed();
		noteRuns(speed, new SeededRandom(3), 100, new Map(targets.map(target => [target, 5])));
		expect(speed.hasEjected()).toBe(false);
	});

	it('never avoids more than a third', () => {
		const speed = createSpeed();
		const four = new Map(targets.slice(0, 3).map(target => [target, 8]));
		noteRuns(speed, new SeededRandom(4), 50, four);
		expect(targets.filter(target => speed.isEjected(target)).length).toBeLessThanOrEqual(2);
	});

	it('ejects no healthy target in a thousand seeds', () => {
		let ejected = 0;
		for (let seed = 1; seed <= 1_000; seed++) {
			const speed = createSpeed();
			const random = new SeededRandom(seed * 7_919);
			for (let step = 0; step < 5; step++) {
				noteRuns(speed, random, 20, new Map());
				ejected += targets.some(target => speed.isEjected(target)) ? 1 : 0;
			}
		}
		expect(ejected).toBe(0);
	});
});
