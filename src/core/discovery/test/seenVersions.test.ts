import type { ServiceName, SoftwareVersion } from '../../ids/common/ids';
import type { FollowStart } from '../../store/common/storeFollower';
import type { VersionHistory } from '../common/seenVersions';
import { SeenVersions } from '../common/seenVersions';

const service = 'writer' as ServiceName;
const v1 = 'v1' as SoftwareVersion;
const v2 = 'v2' as SoftwareVersion;
const spanMs = 15_000;

/** An entry that started at 100 s and listed the registrations at revision 40. */
function createStart(change: Partial<FollowStart> = {}): FollowStart {
	return { sinceMs: 100_000, revision: 40, era: 1, ...change };
}

/** What another entry knows that has followed the store for 30 s. */
function createHistory(change: Partial<VersionHistory> = {}): VersionHistory {
	const versions = [{ service, version: v1, ageMs: 0 }];
	return { revision: 40, era: 1, followedMs: 30_000, versions, ...change };
}

describe('the versions that another entry has seen', () => {
	it('are known from the time since which that entry follows the store', () => {
		const seen = new SeenVersions();
		seen.add(createHistory(), createStart(), 100_200);
		expect(seen.getKnownSinceMs(createStart())).toBe(70_200);
	});

	// Guards against streams joined from two versions because a version came and went after that entry lost the store.
	it('fill no gap if the other entry has not seen the revision at which this one listed the registrations', () => {
		const seen = new SeenVersions();
		seen.add(createHistory({ revision: 39 }), createStart(), 100_200);
		expect(seen.getKnownSinceMs(createStart())).toBe(100_000);
		seen.add(createHistory({ revision: 90, era: 2 }), createStart(), 100_200);
		seen.add(createHistory({ revision: 90, era: undefined }), createStart(), 100_200);
		expect(seen.getKnownSinceMs(createStart())).toBe(100_000);
	});

	// Guards against comparing revisions of a restored store with those before the restore.
	it('fill no gap if the store tells no era', () => {
		const seen = new SeenVersions();
		const start = createStart({ era: undefined });
		seen.add(createHistory({ revision: 500, era: undefined }), start, 100_200);
		expect(seen.getKnownSinceMs(start)).toBe(100_000);
	});

	// Guards against the same after this entry has lost track of the store itself.
	it('fill no gap before a later listing', () => {
		const seen = new SeenVersions();
		seen.add(createHistory(), createStart(), 100_200);
		const later = createStart({ sinceMs: 110_000, revision: 60 });
		expect(seen.getKnownSinceMs(later)).toBe(110_000);
	});

	// Guards against a version that left just before this entry started, and against one that this entry has not received yet.
	it('count from when they were last registered there, whatever its revision', () => {
		const seen = new SeenVersions();
		const versions = [
			{ service, version: v1, ageMs: 4_000 },
			{ service, version: v2, ageMs: 0 },
			{ service: 'reader' as ServiceName, version: v1, ageMs: 0 },
		];
		seen.add(createHistory({ revision: 3, versions }), createStart(), 100_200);
		expect(seen.listPast(service, spanMs, 100_200)).toEqual([v1, v2]);
		expect(seen.listPast(service, spanMs, 111_199)).toEqual([v1, v2]);
		expect(seen.listPast(service, spanMs, 111_200)).toEqual([v2]);
		expect(seen.listPast(service, spanMs, 115_200)).toEqual([]);
	});

	it('are passed on with the time since which they are known', () => {
		const seen = new SeenVersions();
		seen.noteEnd({ service, version: v2 }, 90_000);
		seen.add(createHistory(), createStart(), 100_200);
		const position = { revision: 44, era: 1 };
		const described = seen.describe([{ service, version: v1, ageMs: 0 }], position, createStart(), 101_200);
		expect(described).toEqual({
			...position,
			followedMs: 31_000,
			versions: [
				{ service, version: v1, ageMs: 0 },
				{ service, version: v2, ageMs: 11_200 },
			],
		});
	});

	// Guards against a time that is claimed to be known although the versions of its beginning are not kept any more.
	it('are described for no longer than past versions are kept', () => {
		const start = createStart({ sinceMs: 0 });
		const described = new SeenVersions().describe([], { revision: 44, era: 1 }, start, 500_000);
		expect(described.followedMs).toBe(60_000);
	});
});
