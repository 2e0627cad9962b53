import { fc, test } from '@fast-check/jest';
import type { Manifest } from '../../core/manifest/common/manifest';
import { checkManifest } from '../../core/manifest/common/manifest';
import { createRecord, createStatus } from '../../core/operators/test/operatorsFixtures';
import type { PeerStatus, TargetStatus } from '../../core/status/common/entryStatus';
import { createTrailRecord } from '../../core/status/common/operatorsAnswers';
import { formatBytes, formatDuration, formatForTerminal } from '../common/formatting';
import { compareManifests, renderManifestChange } from '../common/manifestDiff';
import { findManifestDifferences, renderEntries } from '../common/renderEntries';
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
