import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { VersionHistory } from '../../../../core/discovery/common/seenVersions';
import type { ServiceName, SoftwareVersion } from '../../../../core/ids/common/ids';
import { FindVersionHistoryResponseSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { decodeVersionHistory, encodeVersionHistory } from '../versionHistoryCodec';

function createHistory(change: Partial<VersionHistory> = {}): VersionHistory {
	const versions = [
		{ service: 'writer' as ServiceName, version: 'v1' as SoftwareVersion, ageMs: 0 },
		{ service: 'reader' as ServiceName, version: undefined, ageMs: 1_200 },
	];
	return { revision: 7_000_000_000, era: 3, followedMs: 30_000, versions, ...change };
}

function sendHistory(history: VersionHistory | undefined): VersionHistory | undefined {
	const bytes = toBinary(FindVersionHistoryResponseSchema, encodeVersionHistory(history));
	return decodeVersionHistory(fromBinary(FindVersionHistoryResponseSchema, bytes));
}

describe('a history of versions between entries', () => {
	it('arrives as it was sent, with and without an era', () => {
		expect(sendHistory(createHistory())).toEqual(createHistory());
		expect(sendHistory(createHistory({ era: undefined }))).toEqual(createHistory({ era: undefined }));
		expect(sendHistory(undefined)).toBeUndefined();
	});

	// Guards against more time that is taken for known than the other entry knows.
	it('is rounded so that less is known', () => {
		const versions = [{ service: 'writer' as ServiceName, version: undefined, ageMs: 12.9 }];
		const received = sendHistory(createHistory({ followedMs: 14_999.9, versions }));
		expect(received).toMatchObject({ followedMs: 14_999, versions: [{ ageMs: 12 }] });
	});
});
