import { SeededRandom } from '../../../../base/common/random';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { InstanceId } from '../../../../core/ids/common/ids';
import type { Neighbour } from '../neighbourPicker';
import { NeighbourPicker } from '../neighbourPicker';

function createNeighbours(...waits: readonly number[]): readonly Neighbour[] {
	return waits.map((waitMs, index) => ({ instance: `entry-${index}` as InstanceId, waitMs }));
}

function countPicks(neighbours: readonly Neighbour[]): ReadonlyMap<InstanceId, number> {
	const picker = new NeighbourPicker(new SeededRandom(5));
	const counts = new Map<InstanceId, number>();
	for (let index = 0; index < 300; index++) {
		const picked = picker.pick(neighbours, 0)!;
		counts.set(picked, (counts.get(picked) ?? 0) + 1);
	}
	return counts;
}

describe('NeighbourPicker', () => {
	// Guards against all requests of a cut entry going to the one neighbour that reported the shortest wait.
	it('spreads requests over neighbours, fewer to those that are busier', () => {
		const counts = countPicks(createNeighbours(10, 20, 500));
		expect(counts.get('entry-0' as InstanceId)).toBeLessThan(200);
		expect(counts.get('entry-1' as InstanceId)).toBeGreaterThan(50);
		expect(counts.get('entry-2' as InstanceId)).toBeLessThan(60);
	});

	it('leaves out a neighbour that reaches no target or is not reached, for a while', () => {
		const picker = new NeighbourPicker(new SeededRandom(5));
		const neighbours = createNeighbours(10);
		picker.noteEnd('entry-0' as InstanceId, ErrorKind.NoTarget, 1_000);
		expect(picker.pick(neighbours, 2_900)).toBeUndefined();
		expect(picker.pick(neighbours, 3_000)).toBe('entry-0');
		picker.noteEnd('entry-0' as InstanceId, ErrorKind.PeerUnreachable, 4_000);
		picker.noteEnd('entry-0' as InstanceId, undefined, 4_100);
		expect(picker.pick(neighbours, 4_200)).toBe('entry-0');
	});

	it('picks none if there is none', () => {
		expect(new NeighbourPicker(new SeededRandom(5)).pick([], 0)).toBeUndefined();
	});
});
