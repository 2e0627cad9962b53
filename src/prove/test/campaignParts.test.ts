import * as fc from 'fast-check';
import { SeededRandom } from '../../base/common/random';
import { Disturbances } from '../common/disturbances';
import { FaultKind, listMissing, planFaults } from '../common/faultSchedule';
import { ManifestLedger } from '../common/manifestLedger';

const kinds = Object.values(FaultKind);

describe('planFaults', () => {
	test('has every kind, and is decided by the seed', () => {
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

	test('a kind that was left out is named', () => {
		expect(listMissing([FaultKind.KillEntry, FaultKind.CutLinks], [FaultKind.CutLinks])).toEqual([
			FaultKind.KillEntry,
		]);
	});
});

describe('ManifestLedger', () => {
	const sighting = { entry: 'entry-1', boot: 'boot-1', version: 5, digest: 'a' };

	test('tells of an entry that goes back to an older manifest', () => {
		// The platform is restored from a copy and serves an older version. An entry that believes it undoes
		// what operators have published.
		const ledger = new ManifestLedger();
		expect(ledger.note(sighting)).toBeUndefined();
		expect(ledger.note({ ...sighting, version: 4 })).toContain('version 5 back to 4');
	});

	test('tells of an entry that changes its document without a new version', () => {
		// Two pipelines publish under one version. An entry that takes the second in place of the first
		// flaps between them.
		const ledger = new ManifestLedger();
		ledger.note(sighting);
		expect(ledger.note({ ...sighting, digest: 'b' })).toContain('another one');
	});

	test('says nothing of newer versions and of other starts', () => {
		const ledger = new ManifestLedger();
		ledger.note(sighting);
		expect(ledger.note({ ...sighting, version: 6, digest: 'b' })).toBeUndefined();
		expect(ledger.note({ ...sighting, boot: 'boot-2', version: 1 })).toBeUndefined();
	});
});

describe('Disturbances', () => {
	test('an entry is left alone only once all that disturbed it has ended', () => {
		const disturbances = new Disturbances();
		expect(disturbances.isUndisturbedSince('entry-1', 0)).toBe(true);
		disturbances.begin('entry-1');
		disturbances.begin('entry-1');
		disturbances.end('entry-1', 100);
		expect(disturbances.isUndisturbedSince('entry-1', 200)).toBe(false);
		disturbances.end('entry-1', 150);
		expect(disturbances.isUndisturbedSince('entry-1', 120)).toBe(false);
		expect(disturbances.isUndisturbedSince('entry-1', 200)).toBe(true);
	});
});
