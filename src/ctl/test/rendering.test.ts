import { fc, test } from '@fast-check/jest';
import type { Manifest } from '../../core/manifest/common/manifest';
import { checkManifest } from '../../core/manifest/common/manifest';
import {
	createOrganisations,
	createRecord,
	createSlowness,
	createStatus,
} from '../../core/operators/test/operatorsFixtures';
import type { PeerStatus, TargetStatus } from '../../core/status/common/entryStatus';
import type { OrganisationStatus, TargetSlownessStatus } from '../../core/status/common/organisationsStatus';
import { createTrailRecord } from '../../core/status/common/operatorsAnswers';
import { formatBytes, formatDuration, formatForTerminal } from '../common/formatting';
import { compareManifests, renderManifestChange } from '../common/manifestDiff';
import { findManifestDifferences, renderEntries } from '../common/renderEntries';
import { renderOrganisations } from '../common/renderOrganisations';
import { renderSlowness } from '../common/renderSlowness';
import { defaultMaxRows, renderStatus } from '../common/renderStatus';
import { mergeTrails, renderTrailRecord } from '../common/renderTrail';
import { renderTable } from '../common/table';

function createTarget(id: string, state = 'serving'): TargetStatus {
	return {
		id,
		service: 'bookings',
		zone: 'kingston-a',
		state,
		running: 1,
		limit: 4,
		lastSign: 'manifest 12',
	};
}

function createPeer(instance: string, viewAgeMs: number): PeerStatus {
	return { instance, region: 'montego', zone: 'montego-a', state: 'live', viewAgeMs, manifestVersion: 12 };
}

function createOrganisation(
	organisation: string,
	overrides: Partial<OrganisationStatus> = {},
): OrganisationStatus {
	return { organisation, homes: [], priority: null, keys: 0, limit: null, use: null, ...overrides };
}

function createTargetSlowness(id: string, lasting: number, recent = lasting): TargetSlownessStatus {
	return {
		id,
		service: 'round-assistant',
		lasting,
		recent,
		source: 'reports',
		correction: 1,
		reportAgeMs: 40,
	};
}

function createManifest(targetIds: readonly string[], slotsPerTarget = 8): Manifest {
	const targets = targetIds.map(id => ({
		id,
		service: 'bookings',
		region: 'kingston',
		zone: 'kingston-a',
		url: 'http://127.0.0.1:9001',
	}));
	return checkManifest({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [
			{ name: 'bookings', kind: 'plain', residency: 'home', repeat: 'at-most-once', slotsPerTarget },
		],
		targets,
	})._unsafeUnwrap();
}

describe('formatting', () => {
	it('shows durations and bytes in a unit that fits the value', () => {
		const shown = [null, 900, 3_200, 65_000, 7_800_000, 273_600_000].map(formatDuration);
		expect(shown).toEqual(['-', '900ms', '3.2s', '1m 05s', '2h 10m', '3d 04h']);
		expect([0, 1_536, 268_435_456].map(formatBytes)).toEqual(['0 B', '1.5 KiB', '256.0 MiB']);
	});

	// Guards against terminal escapes in the output: the detail of a refusal quotes headers of the caller, and an
	// escape sequence there could clear the operator's screen or display a line that no entry wrote.
	test.prop([fc.string({ unit: 'binary' })], { seed: 6 })('removes all control characters', text => {
		expect(formatForTerminal(text)).not.toMatch(/[\u0000-\u001f\u007f-\u009f]/);
	});

	test.prop([fc.array(fc.tuple(fc.stringMatching(/^[a-z]{1,9}$/), fc.nat()), { minLength: 1 })], { seed: 6 })(
		'aligns the columns of a table',
		rows => {
			const lines = renderTable(
				[
					{ heading: 'NAME', render: row => row[0] },
					{ heading: 'COUNT', render: row => row[1], isNumber: true },
				],
				rows,
			);
			expect(new Set(lines.map(line => line.length)).size).toBe(1);
		},
	);
});

describe('renderStatus', () => {
	// Guards against a truncated table that hides the single failed target among many serving ones.
	it('shows rows in the rarest state first and the number of omitted rows', () => {
		const serving = Array.from({ length: 40 }, (_, index) => createTarget(`bookings-${index}`));
		const lines = renderStatus(createStatus({ targets: [...serving, createTarget('odd-one', 'failed')] }));
		const heading = lines.findIndex(line => line.startsWith('TARGET'));
		expect(lines[heading + 1]).toMatch(/^odd-one +bookings +kingston-a +failed/);
		expect(lines).toContain(`... and ${41 - defaultMaxRows} more: --all shows them`);
	});

	it('shows that an entry is not ready, and the reasons', () => {
		const readiness = { isReady: false, reasons: ['no manifest yet', 'no peer'] };
		const lines = renderStatus(
			createStatus({ readiness, manifest: null, platform: { lastReadAgeMs: null } }),
		);
		expect(lines).toContain('NOT READY: no manifest yet; no peer');
		expect(lines).toContain('no manifest; platform not read yet');
	});
});

describe('renderOrganisations', () => {
	const limited = createOrganisation('reef-tours', {
		keys: 2,
		homes: ['kingston', 'montego'],
		priority: 1,
		limit: { unit: 'tokens', perSecond: 4_000, burst: 9_000 },
		use: { ownDemand: 312.44, fleetDemand: 21_000, fraction: 0.19, answerAgeMs: 450 },
	});

	// Guards against a truncated table that hides the one limited organisation among hundreds.
	it('shows the organisation of which least is admitted first', () => {
		const others = Array.from({ length: 40 }, (_, index) => createOrganisation(`a-${index}`));
		const answer = createOrganisations({ requiresKeys: true, organisations: [...others, limited] });
		const lines = renderOrganisations(answer, defaultMaxRows);
		expect(lines[1]).toBe('keys required; 2 keys; 1 limit');
		const heading = lines.findIndex(line => line.startsWith('ORGANISATION'));
		expect(lines[heading + 1]).toMatch(
			/^reef-tours +2 +4000 tokens\/s, burst 9000 +312\.4\/s +21000\.0\/s +0\.190 +450ms +1 +kingston montego$/,
		);
		expect(lines).toContain(`... and ${41 - defaultMaxRows} more: --all shows them`);
	});

	it('says so where there are no keys, no limits, no bound or no manifest', () => {
		const answer = createOrganisations({ organisations: [createOrganisation('reef-tours')] });
		expect(renderOrganisations(answer, defaultMaxRows).slice(0, 3)).toEqual([
			'entry-kingston-1  manifest 12  1 organisation',
			'keys not required; no organisation has keys; no organisation has a limit',
			'no bound for withdrawn keys',
		]);
		expect(renderOrganisations(createOrganisations({ manifestVersion: null }), defaultMaxRows)[0]).toBe(
			'entry-kingston-1  no manifest',
		);
	});

	// Guards against an age that is shown without its limit: the operator could not tell why keys are refused with 503.
	it('says when keys are unconfirmed', () => {
		const render = (ageMs: number | null): string | undefined =>
			renderOrganisations(
				createOrganisations({ keyKnowledge: { ageMs, maxAgeMs: 4_807 } }),
				defaultMaxRows,
			)[2];
		expect(render(1_200)).toBe('keys confirmed 1.2s ago, accepted up to an age of 4.8s');
		expect(render(9_000)).toBe('KEYS UNCONFIRMED: last confirmed 9.0s ago, accepted up to an age of 4.8s');
		expect(render(null)).toContain('KEYS UNCONFIRMED: the store has not answered yet');
	});
});

describe('renderSlowness', () => {
	it('shows the slowest target first', () => {
		const targets = [createTargetSlowness('fast', 0.7), createTargetSlowness('slow', 1.72, 4.3)];
		const lines = renderSlowness(createSlowness({ targets }), defaultMaxRows);
		expect(lines[0]).toBe('entry-kingston-1  2 targets; 2 with reports');
		expect(lines[3]).toMatch(/^slow +round-assistant +1\.72 +4\.30 +reports +1\.00 +40ms$/);
		expect(lines[4]).toMatch(/^fast /);
	});

	it('says so where no target reports its slowness', () => {
		const target = { ...createTargetSlowness('any', 1), source: 'answer-times', reportAgeMs: null };
		const lines = renderSlowness(createSlowness({ targets: [target] }), defaultMaxRows);
		expect(lines[0]).toBe('entry-kingston-1  1 target; no target reports its slowness');
	});
});

describe('renderEntries', () => {
	it('lists queried entries, and their peers by the newest view', () => {
		const first = createStatus({ peers: [createPeer('entry-montego-1', 9_000)] });
		const second = createStatus({ instance: 'entry-ocho-1', peers: [createPeer('entry-montego-1', 400)] });
		const lines = renderEntries([first, second]);
		expect(lines).toHaveLength(4);
		expect(lines.join('\n')).toMatch(/entry-montego-1 .* by entry-ocho-1, 400ms ago/);
	});

	// Guards against an unreported version conflict: after two documents were published with the same version, each
	// entry keeps the one it has, and callers get different results until a higher version is published.
	it('reports two documents with the same version', () => {
		const other = createStatus({ instance: 'b', manifest: { version: 12, digest: 'cd34', ageMs: 1 } });
		expect(findManifestDifferences([createStatus(), other])).toEqual([
			'manifest 12 has two different documents; publish a higher version',
		]);
		expect(findManifestDifferences([createStatus(), createStatus()])).toEqual([]);
	});
});

describe('renderTrail', () => {
	it('merges trails by time and renders each change on one line', () => {
		const [early, late] = [createTrailRecord(createRecord(1)), createTrailRecord(createRecord(2))];
		const merged = mergeTrails([[{ instance: 'a', record: late }], [{ instance: 'b', record: early }]]);
		expect(merged.map(renderTrailRecord)).toEqual([
			'1970-01-01T00:00:01.000Z  b  target bookings-1: serving -> failed  (connect refused; manifest 12)',
			'1970-01-01T00:00:02.000Z  a  target bookings-1: serving -> failed  (connect refused; manifest 12)',
		]);
	});
});

describe('compareManifests', () => {
	it('compares named objects by name and reports each change with its path', () => {
		const changes = compareManifests(createManifest(['b', 'c']), createManifest(['a', 'c'], 12));
		expect(changes.map(change => renderManifestChange(change).slice(0, 40))).toEqual([
			'~ services[bookings].slotsPerTarget: 8 -> 12'.slice(0, 40),
			'- targets[b]',
			'+ targets[a] {"id":"a","service":"bookings","region"'.slice(0, 40),
		]);
	});

	const idSet = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,3}$/), { maxLength: 8 });
	test.prop([idSet, idSet], { seed: 6 })(
		'finds exactly the targets that are missing on one side',
		(from, to) => {
			const places = compareManifests(createManifest(from), createManifest(to)).map(change => change.place);
			const expected = [...from.filter(id => !to.includes(id)), ...to.filter(id => !from.includes(id))].map(
				id => `targets[${id}]`,
			);
			expect(places.sort()).toEqual(expected.sort());
		},
	);
});
