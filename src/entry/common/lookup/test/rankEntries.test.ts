import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import type { CandidateEntry, LookupContext } from '../rankEntries';
import { listUsableEntries, rankEntries } from '../rankEntries';

const khomas = 'khomas' as RegionName;
const zoneA = 'khomas-a' as ZoneName;

function createEntry(instance: string, more: Partial<CandidateEntry> = {}): CandidateEntry {
	return {
		instance: instance as InstanceId,
		region: khomas,
		zone: zoneA,
		isLeaving: false,
		isSuspect: false,
		room: { waitMs: 0, freeSlots: 10, running: 0, queued: 0 },
		ageMs: 0,
		...more,
	};
}

const context: LookupContext = { region: khomas, zone: zoneA, previous: undefined };

/** Counts for each entry how many of a thousand callers get it ranked first. */
function countFirsts(entries: readonly CandidateEntry[], lookup = context): Map<string, number> {
	const random = new SeededRandom(3);
	const firsts = new Map<string, number>();
	for (let caller = 0; caller < 1_000; caller++) {
		const [first = 'none'] = rankEntries(lookup, entries, random);
		firsts.set(first, (firsts.get(first) ?? 0) + 1);
	}
	return firsts;
}

describe('rankEntries', () => {
	it('ranks the zone first, then the region, suspected entries last, and omits leaving entries', () => {
		const entries = [
			createEntry('far', { region: 'erongo' as RegionName, zone: 'erongo-a' as ZoneName }),
			createEntry('beside', { zone: 'khomas-b' as ZoneName }),
			createEntry('silent', { isSuspect: true }),
			createEntry('leaving', { isLeaving: true }),
			createEntry('near'),
		];
		expect(rankEntries(context, entries, new SeededRandom(1))).toEqual(['near', 'beside', 'far', 'silent']);
	});

	it('distributes callers by capacity, and fades old reports to the mean', () => {
		const full = { waitMs: 500, freeSlots: 0, running: 10, queued: 30 };
		const fresh = countFirsts([createEntry('a'), createEntry('b', { room: full })]);
		expect(fresh.get('b') ?? 0).toBeLessThan(100);
		const old = countFirsts([createEntry('a'), createEntry('b', { room: full, ageMs: 120_000 })]);
		expect(old.get('b')).toBeGreaterThan(250);
	});

	it('keeps a caller at its entry while that is good, even if another entry has more capacity', () => {
		const entries = [
			createEntry('a', { room: { waitMs: 0, freeSlots: 9, running: 0, queued: 0 } }),
			createEntry('b'),
		];
		const firsts = countFirsts(entries, { ...context, previous: 'a' as InstanceId });
		expect(firsts.get('a')).toBe(1_000);
	});

	// An entry fills up while other entries have capacity. If every caller moved at its next lookup, those entries
	// would be overloaded at once, and callers would move back and forth, each time with new connections.
	it('moves only a share of the callers away from a full entry', () => {
		const entries = [
			createEntry('a', { room: { waitMs: 2_000, freeSlots: 0, running: 20, queued: 9 } }),
			createEntry('b'),
		];
		const firsts = countFirsts(entries, { ...context, previous: 'a' as InstanceId });
		expect(firsts.get('b')).toBeGreaterThan(150);
		expect(firsts.get('b')).toBeLessThan(350);
	});

	// An entry becomes silent while its callers repeat their lookups. The preference for the current entry must not
	// keep them there.
	it('moves all callers away from a suspected entry', () => {
		const entries = [createEntry('a', { isSuspect: true }), createEntry('b')];
		const firsts = countFirsts(entries, { ...context, previous: 'a' as InstanceId });
		expect(firsts.get('b')).toBe(1_000);
	});
});

describe('listUsableEntries', () => {
	const away = { region: 'erongo' as RegionName, zone: 'erongo-a' as ZoneName };
	const home = createEntry('home', { region: 'oshana' as RegionName, zone: 'oshana-a' as ZoneName });
	const entries = [createEntry('near'), createEntry('away', away), home];
	const homes = new Map([
		['khomas', 2],
		['oshana', 2],
	] as [RegionName, number][]);

	it('returns the entries of the caller’s zone', () => {
		expect(listUsableEntries(entries, { ...context, homes }).map(({ instance }) => instance)).toEqual([
			'near',
		]);
	});

	// Both entries of a region are being replaced at once. Its callers must not be directed to a region that may not
	// read their requests while a region that may has entries.
	it('returns entries of a home region if the region of the caller has none', () => {
		const leaving = [createEntry('near', { isLeaving: true }), ...entries.slice(1)];
		expect(listUsableEntries(leaving, { ...context, homes }).map(({ instance }) => instance)).toEqual([
			'home',
		]);
	});

	// One route of a host has a single home region, the other routes have two. Both entries of the single home are
	// being replaced. No remaining region may read all requests of the host, but the second home may read most.
	it('returns entries of the region that may answer most routes', () => {
		const leaving = [createEntry('near', { isLeaving: true }), ...entries.slice(1)];
		const uneven = new Map([
			['khomas', 3],
			['oshana', 2],
		] as [RegionName, number][]);
		const named = listUsableEntries(leaving, { ...context, homes: uneven });
		expect(named.map(({ instance }) => instance)).toEqual(['home']);
	});

	it('returns entries of any region if no other entry is live', () => {
		const others = [createEntry('near', { isSuspect: true }), entries[1]!];
		expect(listUsableEntries(others, { ...context, homes }).map(({ instance }) => instance)).toEqual([
			'away',
		]);
	});
});
