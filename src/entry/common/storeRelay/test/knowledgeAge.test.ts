import { SeededRandom } from '../../../../base/common/random';
import { computeMaxDelayMs, computeMaxKeyAgeMs } from '../../keys/keyConfirmation';
import type { RelayEntry } from './relaySimulation';
import { prefix, RelaySite } from './relaySimulation';

const withdrawnWithinMs = 5_000;
const boundedDelayMs = computeMaxDelayMs(5_000, withdrawnWithinMs);
const maxAgeMs = computeMaxKeyAgeMs(withdrawnWithinMs);
const settleMs = 10_000;
const watchedMs = 15_000;
const stepMs = 40;
const seeds = [1, 2, 3];
const entries = 20;

interface Sample {
	/** The highest age at a live entry. */
	readonly maxMs: number;
	/** Entries that took their state for the present one although a change was missing. */
	readonly wrong: readonly string[];
}

function createSite(seed: number, regions = 1): { site: RelaySite; random: SeededRandom } {
	const random = new SeededRandom(seed);
	return { site: new RelaySite(entries, true, random, 1, { regions, boundedDelayMs }), random };
}

function isRunning({ isFrozen, timers }: RelayEntry): boolean {
	return !isFrozen && !timers.isSuspended;
}

/** Writes changes at random times, and compares what each entry has with what it had to have as of the time that it claims. */
async function measureAges(site: RelaySite, random: SeededRandom, durationMs: number): Promise<Sample> {
	const writtenMs: number[] = [];
	const wrong: string[] = [];
	let maxMs = 0;
	const endMs = site.timers.getNow() + durationMs;
	let nextWriteMs = site.timers.getNow();
	while (site.timers.getNow() < endMs) {
		if (site.timers.getNow() >= nextWriteMs) {
			site.siteStore.put(`${prefix}a`, String(writtenMs.length + 1));
			writtenMs.push(site.timers.getNow());
			nextWriteMs += 100 + random.pickBelow(4_000);
		}
		await site.advance(stepMs);
		for (const entry of [...site.entries.values()].filter(isRunning)) {
			const ageMs = entry.follower.getAgeMs();
			if (ageMs === undefined) {
				continue;
			}
			maxMs = Math.max(maxMs, ageMs);
			const asOfMs = site.timers.getNow() - ageMs;
			const due = writtenMs.filter(ms => ms < asOfMs).length;
			if ((entry.held.get(`${prefix}a`) ?? 0) < due) {
				wrong.push(`${entry.id} at ${site.timers.getNow()} has not change ${due}, age ${ageMs}`);
			}
		}
	}
	return { maxMs, wrong };
}

interface Case {
	readonly name: string;
	readonly regions?: number;
	readonly limitMs?: number;
	apply(site: RelaySite): void;
}

function cutFromStore(site: RelaySite, isCut: (entry: RelayEntry) => boolean): void {
	for (const entry of site.entries.values()) {
		entry.ownStore.isCut = isCut(entry);
	}
}

const cases: readonly Case[] = [
	{ name: 'nothing happens', limitMs: 0.6 * withdrawnWithinMs, apply: () => undefined },
	{
		name: 'the store ends watches without changes early',
		apply: site => {
			for (const { ownStore } of site.entries.values()) {
				ownStore.endsWatchesAfterMs = 300;
			}
		},
	},
	{
		name: 'the watchers are killed',
		apply: site => {
			for (const { id } of site.listWatchers()) {
				site.kill(id);
			}
		},
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
		name: 'the watchers are suspended',
		apply: site => {
			for (const { timers } of site.listWatchers()) {
				timers.pause();
			}
		},
	},
	{
		name: 'the store does not respond to the watchers',
		apply: site => {
			const watchers = site.listWatchers();
			cutFromStore(site, entry => watchers.includes(entry));
		},
	},
	{
		name: 'the store responds to one entry only',
		apply: site => {
			cutFromStore(site, ({ id }) => id !== site.ids[7]);
		},
	},
	{
		name: 'the store turns all entries but one away',
		apply: site => {
			for (const { id, ownStore } of site.entries.values()) {
				ownStore.isRefused = id !== site.ids[7];
			}
		},
	},
	{
		name: 'the store does not respond to a whole region',
		regions: 2,
		apply: site => {
			cutFromStore(site, ({ id }) => site.getRegion(id) === 0);
		},
	},
	{
		name: 'the store responds to one entry of the other region only',
		regions: 2,
		apply: site => {
			cutFromStore(site, ({ id }) => id !== site.ids[7]);
		},
	},
	{
		name: 'messages between entries are held up for 3 s',
		apply: site => {
			site.getDelayMs = () => 3_000;
		},
	},
	{
		name: 'answers of the store are held up for 800 ms',
		apply: site => {
			for (const { ownStore } of site.entries.values()) {
				ownStore.answerDelayMs = 800;
			}
		},
	},
];

describe.each(cases)('the knowledge of entries if $name', testCase => {
	// Guards against requests with keys that are refused although some entry in reach has the store, and against withdrawn
	// keys that are accepted because an entry takes its state to be younger than it is.
	it.each(seeds)('stays young enough and never claims too much, seed %d', async seed => {
		const { site, random } = createSite(seed, testCase.regions);
		await site.advance(settleMs);
		site.timers.schedule(2_000 + random.pickBelow(3_000), () => {
			testCase.apply(site);
		});
		const { maxMs, wrong } = await measureAges(site, random, watchedMs);
		expect(wrong).toEqual([]);
		expect(maxMs).toBeLessThanOrEqual(testCase.limitMs ?? maxAgeMs);
		site.dispose();
	});
});

describe('an entry whose machine was suspended', () => {
	// Guards against a withdrawn key that is accepted because the monotonic clock stood still during the suspension.
	it.each(seeds)('knows the whole age at once and has the present state soon, seed %d', async seed => {
		const { site, random } = createSite(seed);
		await site.advance(settleMs + random.pickBelow(2_000));
		const entry = site.entries.get(site.ids[random.pickBelow(entries)]!)!;
		entry.timers.pause();
		await site.advance(15_000);
		entry.timers.resume();
		expect(entry.follower.getAgeMs()).toBeGreaterThan(15_000);
		const { wrong } = await measureAges(site, random, 5_000);
		expect(wrong).toEqual([]);
		expect(entry.follower.getAgeMs()).toBeLessThanOrEqual(maxAgeMs);
		site.dispose();
	});
});

describe('a process that was stopped', () => {
	// Guards against a state from before the stop that is taken for the present one by messages that arrived meanwhile.
	it('knows the whole age at its first check', async () => {
		const { site } = createSite(1);
		await site.advance(settleMs);
		const { follower } = [...site.entries.values()].find(({ client }) => !client.isDirect(prefix))!;
		site.timers.advanceWithoutTimers(30_000);
		expect(follower.getAgeMs()).toBeGreaterThan(30_000);
		site.dispose();
	});
});

describe('a store that is down for all entries', () => {
	// Guards against entries that confirm each other's knowledge while none of them has the store.
	it.each(seeds)('leaves all without young knowledge until it is back, seed %d', async seed => {
		const { site } = createSite(seed, 2);
		await site.advance(settleMs);
		cutFromStore(site, () => true);
		await site.advance(withdrawnWithinMs);
		for (const { follower } of site.entries.values()) {
			expect(follower.getAgeMs()).toBeGreaterThan(maxAgeMs);
		}
		await site.advance(5_000);
		cutFromStore(site, () => false);
		await site.advance(withdrawnWithinMs);
		for (const { follower } of site.entries.values()) {
			expect(follower.getAgeMs()).toBeLessThanOrEqual(maxAgeMs);
		}
		site.dispose();
	});
});
