import * as fc from 'fast-check';
import type { InstanceId, TargetId } from '../../../../core/ids/common/ids';
import type { EntryRoster } from '../entryRoster';
import { computeSenderRank } from '../entryRoster';

const target = 'engine-1' as TargetId;

function createRoster(self: InstanceId, known: readonly InstanceId[], size: number): EntryRoster {
	return { self, others: known.filter(id => id !== self), size, isKnown: true };
}

function createIds(count: number): readonly InstanceId[] {
	return Array.from({ length: count }, (_, index) => `entry-${index}` as InstanceId);
}

describe('computeSenderRank', () => {
	it('is another one for each entry if all know each other', () => {
		const ids = createIds(28);
		const ranks = ids.map(id => computeSenderRank(createRoster(id, ids, 28), target));
		expect([...ranks].sort((left, right) => left - right)).toEqual(ids.map((_, index) => index));
	});

	// Guards against more entries sending to a cold target than it bears, although each knows only some of the others.
	it('lets no more entries send than the rate allows, whichever others each of them knows', () => {
		const partialKnowledge = fc
			.integer({ min: 1, max: 12 })
			.chain(count => fc.array(fc.subarray([...createIds(count)]), { minLength: count, maxLength: count }));
		fc.assert(
			fc.property(partialKnowledge, fc.integer({ min: 1, max: 12 }), (known, senders) => {
				const ids = createIds(known.length);
				const allowed = ids.filter(
					(id, index) => computeSenderRank(createRoster(id, known[index]!, ids.length), target) < senders,
				);
				expect(allowed.length).toBeLessThanOrEqual(senders);
			}),
			{ seed: 44, numRuns: 300 },
		);
	});

	it('is infinite for an entry that does not know how many others there are', () => {
		const roster = { ...createRoster('entry-1' as InstanceId, [], 1), isKnown: false };
		expect(computeSenderRank(roster, target)).toBe(Number.POSITIVE_INFINITY);
	});
});
