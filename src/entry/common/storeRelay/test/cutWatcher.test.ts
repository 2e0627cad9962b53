/**
 * Readers of a watcher that is cut off from the store silently, at each moment of its read.
 */

import { SeededRandom } from '../../../../base/common/random';
import type { RelayEntry } from './relaySimulation';
import { maxDelayMs, prefix, RelaySite } from './relaySimulation';

const settleMs = 10_000;
/** The shortest time in which a change has to be known to all entries in touch with the store. */
const knownWithinMs = 0.6 * maxDelayMs;
/** The longest wait of a read. */
const readMs = 0.6 * maxDelayMs;
const phaseStepMs = 300;
const phases = Array.from({ length: readMs / phaseStepMs }, (_, index) => index * phaseStepMs);
/** Times from the cut to the change. */
const changeDelays = [4, 300, 1_500, 2_900];
const cuts = [
	{
		name: 'the store',
		apply: (watcher: RelayEntry) => {
			watcher.ownStore.isCut = true;
		},
	},
	{
		name: 'the store and all entries',
		apply: (watcher: RelayEntry) => {
			watcher.ownStore.isCut = true;
			watcher.isFrozen = true;
		},
	},
];
const cases = cuts.flatMap(cut => changeDelays.map(changeDelayMs => ({ ...cut, changeDelayMs })));

interface Fixture {
	readonly site: RelaySite;
	readonly watcher: RelayEntry;
	readonly readers: readonly RelayEntry[];
}

async function startSite(entries: number): Promise<Fixture> {
	const site = new RelaySite(entries, true, new SeededRandom(1));
	await site.advance(settleMs);
	const watcher = site.listWatchers()[0]!;
	return { site, watcher, readers: [...site.entries.values()].filter(entry => entry !== watcher) };
}

/** Returns the time from a change to when all readers have it, in milliseconds. */
async function measureDelay(site: RelaySite, readers: readonly RelayEntry[], key: string): Promise<number> {
	site.siteStore.put(key, '1');
	const writtenMs = site.timers.getNow();
	while (readers.some(({ held }) => !held.has(key)) && site.timers.getNow() - writtenMs < 2 * maxDelayMs) {
		await site.advance(20);
	}
	return site.timers.getNow() - writtenMs;
}

describe('a change after the watcher of a region was cut off silently', () => {
	// Guards against requests to targets that left, since the entry that reads the store for others notices its cut late.
	it.each(cases)(
		'from $name is known to its readers in time, whenever the cut falls within a read, $changeDelayMs ms before the change',
		async ({ apply, changeDelayMs }) => {
			const late: string[] = [];
			for (const phaseMs of phases) {
				const { site, watcher, readers } = await startSite(6);
				// An answered watch begins the next read.
				site.siteStore.put(`${prefix}begin`, '1');
				await site.advance(phaseMs);
				apply(watcher);
				await site.advance(changeDelayMs);
				const delayMs = await measureDelay(site, readers, `${prefix}late`);
				if (delayMs > knownWithinMs) {
					late.push(`cut ${phaseMs} ms after the begin: ${delayMs} ms`);
				}
				site.dispose();
			}
			expect(late).toEqual([]);
		},
	);
});
