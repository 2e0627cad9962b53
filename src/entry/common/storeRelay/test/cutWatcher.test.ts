/**
 * Readers of a watcher that is cut off from the store silently, at each moment of its read.
 */

import { SeededRandom } from '../../../../base/common/random';
import type { RelayEntry } from './relaySimulation';
import { knownWithinMs, measureDelay, prefix, readPhases, RelaySite } from './relaySimulation';

const settleMs = 10_000;
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

describe('a change after the watcher of a region was cut off silently', () => {
	// Guards against requests to targets that left, since the entry that reads the store for others notices its cut late.
	it.each(cases)(
		'from $name is known to its readers in time, whenever the cut falls within a read, $changeDelayMs ms before the change',
		async ({ apply, changeDelayMs }) => {
			const late: string[] = [];
			for (const phaseMs of readPhases) {
				const { site, watcher, readers } = await startSite(6);
				// An answered watch begins the next read.
				site.siteStore.put(`${prefix}begin`, '1');
				await site.advance(phaseMs);
				apply(watcher);
				await site.advance(changeDelayMs);
				const key = `${prefix}late`;
				const writtenMs = site.timers.getNow();
				site.siteStore.put(key, '1');
				const delayMs = await measureDelay(site, readers, key, writtenMs);
				if (delayMs > knownWithinMs) {
					late.push(`cut ${phaseMs} ms after the begin: ${delayMs} ms`);
				}
				site.dispose();
			}
			expect(late).toEqual([]);
		},
	);
});
