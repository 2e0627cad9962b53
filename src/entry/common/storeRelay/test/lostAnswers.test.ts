/**
 * Entries whose open calls to the store are reset at once, and whose next calls are never answered, at each moment of a read.
 */

import { SeededRandom } from '../../../../base/common/random';
import type { RelayEntry } from './relaySimulation';
import { knownWithinMs, measureDelay, prefix, readPhases, RelaySite } from './relaySimulation';

const settleMs = 10_000;
/** All entries wait for a change again by then. */
const firstPhaseMs = 20;
const phases = readPhases.map(phaseMs => firstPhaseMs + phaseMs);

interface Case {
	readonly name: string;
	/** Time for which calls to the store are not answered after the reset. */
	readonly silenceMs: number;
	readonly isHistoryDropped: boolean;
	readonly isAffected: (entry: RelayEntry) => boolean;
	/** Whether the other entries are frozen from the reset on. */
	readonly areOthersFrozen?: boolean;
}

const cases: readonly Case[] = [
	{ name: 'all entries', silenceMs: 200, isHistoryDropped: false, isAffected: () => true },
	{
		name: 'all entries while the store drops its history',
		silenceMs: 200,
		isHistoryDropped: true,
		isAffected: () => true,
	},
	{ name: 'the watchers', silenceMs: 200, isHistoryDropped: false, isAffected: isWatcher },
	{
		name: 'the watchers while all others are frozen',
		silenceMs: 1_500,
		isHistoryDropped: true,
		isAffected: isWatcher,
		areOthersFrozen: true,
	},
];

function isWatcher({ client }: RelayEntry): boolean {
	return client.isDirect(prefix);
}

/** Loses the next calls of entries to the store, and returns the time from a change before that to when all running entries have it. */
async function measureDelayAfterReset(testCase: Case, phaseMs: number): Promise<number> {
	const site = new RelaySite(12, true, new SeededRandom(1));
	const entries = [...site.entries.values()];
	await site.advance(settleMs);
	// An answered watch begins the next read.
	site.siteStore.put(`${prefix}begin`, '1');
	await site.advance(phaseMs);
	const affected = entries.filter(entry => testCase.isAffected(entry));
	const others = entries.filter(entry => !affected.includes(entry));
	for (const other of others) {
		other.isFrozen = testCase.areOthersFrozen === true;
	}
	const running = entries.filter(({ isFrozen }) => !isFrozen);
	for (const { ownStore } of affected) {
		ownStore.isSilent = true;
		ownStore.endOpenCalls();
	}
	const key = `${prefix}late`;
	const writtenMs = site.timers.getNow();
	site.siteStore.put(key, '1');
	if (testCase.isHistoryDropped) {
		site.siteStore.clearHistory();
	}
	await site.advance(testCase.silenceMs);
	for (const { ownStore } of affected) {
		ownStore.isSilent = false;
	}
	const delayMs = await measureDelay(site, running, key, writtenMs);
	site.dispose();
	return delayMs;
}

describe.each(cases)('a change after the connections of $name to the store were reset', testCase => {
	// Guards against requests to a zone that is evacuated, since the next read of the store is lost and waited for.
	it('is known in time if the next calls are never answered, whenever that falls within a read', async () => {
		const late: string[] = [];
		for (const phaseMs of phases) {
			const delayMs = await measureDelayAfterReset(testCase, phaseMs);
			if (delayMs > knownWithinMs) {
				late.push(`reset ${phaseMs} ms after the begin: ${delayMs} ms`);
			}
		}
		expect(late).toEqual([]);
	});
});
