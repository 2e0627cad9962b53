import { SeededRandom } from '../../../../base/common/random';
import type { RelayEntry } from './relaySimulation';
import { maxDelayMs, prefix, RelaySite } from './relaySimulation';

const settleMs = 10_000;
const changeIntervalMs = 400;
const keys = 12;
const entriesOfRegion = 66;
/** What the calls may be of those without feeds. */
const allowedCallShare = 0.1;
const seeds = [1, 2, 3];

interface Change {
	readonly key: string;
	readonly value: number;
}

/** Writes changes for a time and returns what entries did not have in time, with their keys and values. */
async function writeChanges(
	site: RelaySite,
	durationMs: number,
	random: SeededRandom,
	isExpected: (entry: RelayEntry) => boolean,
): Promise<string[]> {
	const late: string[] = [];
	const due: (Change & { readonly dueMs: number })[] = [];
	const endMs = site.timers.getNow() + durationMs;
	for (let value = 1; site.timers.getNow() < endMs + maxDelayMs; value++) {
		if (site.timers.getNow() < endMs) {
			const key = `${prefix}${random.pickBelow(keys)}`;
			site.siteStore.put(key, String(value));
			due.push({ key, value, dueMs: site.timers.getNow() + maxDelayMs });
		}
		await site.advance(changeIntervalMs);
		while (due.length > 0 && due[0]!.dueMs <= site.timers.getNow()) {
			const change = due.shift()!;
			for (const entry of [...site.entries.values()].filter(isExpected)) {
				if ((entry.held.get(change.key) ?? 0) < change.value) {
					late.push(`${entry.id} ${change.key} ${change.value}`);
				}
			}
		}
	}
	return late;
}

async function countCalls(isRelaying: boolean): Promise<number> {
	const random = new SeededRandom(1);
	const site = new RelaySite(entriesOfRegion, isRelaying, random);
	await site.advance(settleMs);
	const before = site.countCalls();
	await writeChanges(site, 20_000, random, () => true);
	const calls = site.countCalls() - before;
	site.dispose();
	return calls;
}

describe('the feeds of a region', () => {
	// Guards against calls to the store that grow with the entries times the changes.
	it('make a tenth of the calls of entries that all watch the store', async () => {
		expect(await countCalls(true)).toBeLessThanOrEqual(allowedCallShare * (await countCalls(false)));
	});
});

interface Case {
	readonly name: string;
	readonly knownShare?: number;
	apply(site: RelaySite): void;
	/** Whether an entry has to have each change within the maximum delay. */
	readonly isExpected?: (entry: RelayEntry) => boolean;
}

const isAlive = ({ isFrozen, ownStore }: RelayEntry): boolean => !isFrozen && !ownStore.isCut;

const cases: readonly Case[] = [
	{ name: 'nothing happens', apply: () => undefined },
	{ name: 'each entry knows half of the others', knownShare: 0.5, apply: () => undefined },
	{
		name: 'the watchers are killed and start again',
		apply: site => {
			for (const { id } of site.listWatchers()) {
				site.kill(id);
				site.timers.schedule(1_500, () => {
					site.startEntry(id);
				});
			}
		},
		isExpected: ({ follower }) => follower.getCurrentAsOfMs() !== undefined,
	},
	{
		name: 'the watchers freeze',
		apply: site => {
			for (const watcher of site.listWatchers()) {
				watcher.isFrozen = true;
				watcher.ownStore.isCut = true;
			}
		},
	},
	{
		name: 'the watchers lose the store',
		apply: site => {
			for (const watcher of site.listWatchers()) {
				watcher.ownStore.isCut = true;
			}
		},
	},
	{
		name: 'the store turns every third entry and its watchers away',
		apply: site => {
			const watchers = site.listWatchers();
			for (const [index, entry] of [...site.entries.values()].entries()) {
				entry.ownStore.isRefused = index % 3 === 0 || watchers.includes(entry);
			}
		},
	},
	{
		name: 'entries start while the store turns them away',
		apply: site => {
			for (const id of site.ids.filter((_, index) => index % 3 === 0)) {
				site.kill(id);
				site.startEntry(id);
				site.entries.get(id)!.ownStore.isRefused = true;
			}
		},
	},
	{
		name: 'the region is cut into halves',
		apply: site => {
			const left = new Set(site.ids.slice(0, site.ids.length / 2));
			site.isCut = (one, other) => left.has(one) !== left.has(other);
		},
	},
	{
		name: 'all entries start again at once',
		apply: site => {
			for (const id of site.ids) {
				site.kill(id);
				site.startEntry(id);
			}
		},
	},
];

describe.each(cases)('the changes of the store if $name', testCase => {
	// Guards against entries that go on by old news because the entry that watches the store for them has none.
	it.each(seeds)('are known everywhere in time and never go back, seed %d', async seed => {
		const { knownShare, apply, isExpected = isAlive } = testCase;
		const random = new SeededRandom(seed);
		const site = new RelaySite(20, true, random, knownShare);
		await site.advance(settleMs);
		const disruptMs = 3_000 + random.pickBelow(2_000);
		site.timers.schedule(disruptMs, () => {
			apply(site);
		});
		const late = await writeChanges(site, 15_000, random, isExpected);
		expect(late).toEqual([]);
		expect([...site.entries.values()].flatMap(({ setBack }) => setBack)).toEqual([]);
		site.dispose();
	});
});

describe('changes that are rare', () => {
	// Guards against readers that never get a change which its watcher received after a long wait.
	it.each([1_700, 2_300, 2_900, 3_700])('are known everywhere in time, %d ms apart', async intervalMs => {
		const site = new RelaySite(8, true, new SeededRandom(1));
		await site.advance(settleMs);
		for (let value = 1; value <= 12; value++) {
			site.siteStore.put(`${prefix}${value}`, String(value));
			await site.advance(intervalMs);
			for (const { held } of site.entries.values()) {
				expect(held.get(`${prefix}${value}`)).toBe(value);
			}
		}
		site.dispose();
	});
});

describe('a store that is restored from an older copy', () => {
	// Guards against entries that take the news of a watcher from before the restore for the present state.
	it('has the same items at all entries soon after', async () => {
		const random = new SeededRandom(1);
		const site = new RelaySite(20, true, random);
		site.siteStore.put(`${prefix}a`, '1');
		await site.advance(settleMs);
		const copy = site.siteStore.createCopy();
		site.siteStore.put(`${prefix}b`, '2');
		await site.advance(1_000);
		site.siteStore.applyCopy(copy);
		site.siteStore.put(`${prefix}c`, '3');
		await site.advance(maxDelayMs);
		for (const { held } of site.entries.values()) {
			expect([...held.keys()].sort()).toEqual([`${prefix}a`, `${prefix}c`]);
		}
		site.dispose();
	});
});
