import type { TargetId } from '../../../../core/ids/common/ids';
import type { RankedTarget } from '../../scheduling/prefixRanking';
import { computeTextHash, findBestRanked } from '../../scheduling/prefixRanking';
import { TargetSubset } from '../targetSubset';
import { createPosition } from './fleetPositions';

const targets: readonly RankedTarget[] = Array.from({ length: 62 }, (_, index) => {
	const id = `engine-${index}` as TargetId;
	return { id, idHash: computeTextHash(id) };
});

/** Lists the preferred targets of an entry that sends a number of requests in each of ten seconds. */
function listPreferred(entries: number, rank: number, perSecond: number): readonly RankedTarget[] {
	const subset = new TargetSubset({ reportIntervalMs: 200, minPreferredTargets: 3 });
	for (let nowMs = 0; nowMs < 10_000; nowMs += 1_000 / perSecond) {
		subset.noteStart(nowMs);
	}
	subset.update(targets, createPosition(entries, rank), 10_000);
	return targets.filter(target => subset.isPreferred(target));
}

describe('TargetSubset', () => {
	// Guards against targets that no entry, or far too many, prefer.
	it.each([1, 3, 10, 80, 360])('spreads the preferences of %i entries evenly', entries => {
		const counts = new Map<RankedTarget, number>();
		for (let rank = 0; rank < entries; rank++) {
			for (const target of listPreferred(entries, rank, 14)) {
				counts.set(target, (counts.get(target) ?? 0) + 1);
			}
		}
		const mean = [...counts.values()].reduce((sum, count) => sum + count, 0) / targets.length;
		expect(counts.size).toBe(targets.length);
		expect(Math.max(...counts.values())).toBeLessThanOrEqual(Math.ceil(mean) + 3);
	});

	// Guards against a busy entry that sends all its requests to three targets.
	it('prefers more targets with more requests, up to all', () => {
		const counts = [1, 14, 100, 1_000].map(perSecond => listPreferred(80, 7, perSecond).length);
		expect(counts).toEqual([3, 3, expect.any(Number), targets.length]);
		expect(counts[2]).toBeGreaterThan(10);
	});

	it('prefers all targets while the place of the entry is not known', () => {
		expect(listPreferred(Infinity, Infinity, 14)).toHaveLength(targets.length);
	});
});

describe('findBestRanked with weights', () => {
	const partIds = Array.from({ length: 2_000 }, (_, index) => `part-${index}`);

	it('ranks as without weights if all are equal', () => {
		const equal = partIds.map(id => findBestRanked(targets, id, 2, () => 2));
		expect(equal).toEqual(partIds.map(id => findBestRanked(targets, id, 2)));
	});

	// Guards against shared parts that are kept at slow targets as often as at fast ones.
	it('moves parts only away from a target whose weight falls', () => {
		const [slow] = targets;
		const before = partIds.map(id => findBestRanked(targets, id, 1)[0]);
		const after = partIds.map(id => findBestRanked(targets, id, 1, target => (target === slow ? 0.1 : 1))[0]);
		const moved = partIds.filter((_, index) => before[index] !== after[index]);
		expect(partIds.every((_, index) => before[index] === after[index] || before[index] === slow)).toBe(true);
		expect(moved.length).toBeGreaterThan(0);
	});
});
