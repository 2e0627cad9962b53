import * as fc from 'fast-check';
import { SeededRandom } from '../../base/common/random';
import { EntryDisruptions } from '../common/entryDisruptions';
import { FaultKind, listMissing, planFaults } from '../common/faultSchedule';
import { ManifestRegressionCheck } from '../common/manifestRegressionCheck';

const kinds = Object.values(FaultKind);

describe('planFaults', () => {
	test('includes every kind, and depends only on the seed', () => {
		fc.assert(
			fc.property(fc.integer(), fc.boolean(), (seed, isShort) => {
				const schedule = planFaults(new SeededRandom(seed), kinds, isShort);
				const injected = schedule.map(({ kind }) => kind);
				expect(listMissing(kinds, injected)).toEqual([]);
				expect(injected.length).toBe(isShort ? kinds.length : kinds.length + 2);
				expect(planFaults(new SeededRandom(seed), kinds, isShort)).toEqual(schedule);
			}),
			{ seed: 1, numRuns: 200 },
		);
	});

	test('listMissing returns a kind that was not injected', () => {
		expect(listMissing([FaultKind.KillEntry, FaultKind.CutLinks], [FaultKind.CutLinks])).toEqual([
			FaultKind.KillEntry,
		]);
	});
});

describe('ManifestRegressionCheck', () => {
	const observation = { entry: 'entry-1', boot: 'boot-1', version: 5, digest: 'a' };

	test('reports an entry that reverts to an older manifest', () => {
		// The platform is restored from a backup and serves an older version. An entry that accepts it reverts
		// what operators have published.
		const check = new ManifestRegressionCheck();
		expect(check.checkObservation(observation)).toBeUndefined();
		expect(check.checkObservation({ ...observation, version: 4 })).toContain('version 5 back to 4');
	});

	test('reports an entry that changes its manifest without a new version', () => {
		// Two pipelines publish different manifests under one version. An entry that replaces one by the other
		// keeps switching between them.
		const check = new ManifestRegressionCheck();
		check.checkObservation(observation);
		expect(check.checkObservation({ ...observation, digest: 'b' })).toContain('another one');
	});

	test('accepts newer versions, and older ones after a restart of the entry', () => {
		const check = new ManifestRegressionCheck();
		check.checkObservation(observation);
		expect(check.checkObservation({ ...observation, version: 6, digest: 'b' })).toBeUndefined();
		expect(check.checkObservation({ ...observation, boot: 'boot-2', version: 1 })).toBeUndefined();
	});
});

describe('EntryDisruptions', () => {
	test('an entry is undisrupted only once all overlapping disruptions have ended', () => {
		const disruptions = new EntryDisruptions();
		expect(disruptions.isUndisruptedSince('entry-1', 0)).toBe(true);
		disruptions.begin('entry-1');
		disruptions.begin('entry-1');
		disruptions.end('entry-1', 100);
		expect(disruptions.isUndisruptedSince('entry-1', 200)).toBe(false);
		disruptions.end('entry-1', 150);
		expect(disruptions.isUndisruptedSince('entry-1', 120)).toBe(false);
		expect(disruptions.isUndisruptedSince('entry-1', 200)).toBe(true);
	});
});
