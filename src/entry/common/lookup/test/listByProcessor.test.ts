import { SeededRandom } from '../../../../base/common/random';
import { listByProcessor } from '../listByProcessor';

interface Sized {
	readonly id: string;
	readonly processorCores: number | undefined;
}

function createZone(large: number, small: number): Sized[] {
	const larges = Array.from({ length: large }, (_, index) => ({
		id: `large-${index}`,
		processorCores: 1.35,
	}));
	const smalls = Array.from({ length: small }, (_, index) => ({
		id: `small-${index}`,
		processorCores: 0.324,
	}));
	return [...larges, ...smalls];
}

describe('entries of different size', () => {
	// A zone has two large instances and fourteen small ones with a quarter of their processor, and at its peak all
	// callers press at once. Spread evenly, the small ones get half as much again as they can read: callers wait
	// seconds for an answer, and leave, while the large ones are at a quarter of what they can do.
	it('get no more of a peak than their processors can read', () => {
		const requests = 5_900;
		const costSeconds = 0.009;
		const offeredSeconds = 10;
		const zone = createZone(2, 14);
		const named = listByProcessor(zone, 64);
		const random = new SeededRandom(1);
		const used = new Map<string, number>();
		for (let drawn = 0; drawn < requests; drawn++) {
			const { id } = named[Math.floor(random.pickFraction() * named.length)]!;
			used.set(id, (used.get(id) ?? 0) + costSeconds);
		}
		for (const { id, processorCores } of zone) {
			expect((used.get(id) ?? 0) / offeredSeconds).toBeLessThan(processorCores!);
		}
	});

	it('are each named, whatever the bound on names leaves of their weight', () => {
		const names = (most: number): string[] => listByProcessor(createZone(2, 3), most).map(({ id }) => id);
		expect(new Set(names(5)).size).toBe(5);
		expect(names(6)).toHaveLength(6);
		expect(names(64).filter(id => id === 'large-1')).toHaveLength(4);
	});

	it('are named once where nobody tells their size, or all have the same', () => {
		const unknown = createZone(2, 2).map(entry => ({ ...entry, processorCores: undefined }));
		expect(listByProcessor(unknown, 64)).toEqual(unknown);
		const equal = createZone(0, 3);
		expect(listByProcessor(equal, 64)).toEqual(equal);
		expect(listByProcessor([], 64)).toEqual([]);
	});
});
