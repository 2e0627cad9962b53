/**
 * Converts histories of registered versions between the entry's own types and the peer protocol's messages.
 */

import { create } from '@bufbuild/protobuf';
import type { SeenVersion, VersionHistory } from '../../../core/discovery/common/seenVersions';
import type { ServiceName, SoftwareVersion } from '../../../core/ids/common/ids';
import type {
	FindVersionHistoryResponse,
	SeenVersion as WireVersion,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import { FindVersionHistoryResponseSchema, SeenVersionSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';

/** Encodes a history; the receiver gets an empty one if there is none. Times are rounded so that less is known. */
export function encodeVersionHistory(history: VersionHistory | undefined): FindVersionHistoryResponse {
	if (history === undefined) {
		return create(FindVersionHistoryResponseSchema);
	}
	const { revision, era, followedMs, versions } = history;
	return create(FindVersionHistoryResponseSchema, {
		revision: BigInt(revision),
		...(era === undefined ? {} : { era: BigInt(era) }),
		followedMs: Math.floor(followedMs),
		versions: versions.map(encodeVersion),
	});
}

/** Decodes a history; undefined if the peer has none. */
export function decodeVersionHistory(message: FindVersionHistoryResponse): VersionHistory | undefined {
	const { revision, era, followedMs, versions } = message;
	if (revision === 0n) {
		return undefined;
	}
	return {
		revision: Number(revision),
		era: era === undefined ? undefined : Number(era),
		followedMs,
		versions: versions.map(decodeVersion),
	};
}

function encodeVersion({ service, version, ageMs }: SeenVersion): WireVersion {
	return create(SeenVersionSchema, {
		service,
		...(version === undefined ? {} : { version }),
		ageMs: Math.floor(ageMs),
	});
}

function decodeVersion({ service, version, ageMs }: WireVersion): SeenVersion {
	return { service: service as ServiceName, version: version as SoftwareVersion | undefined, ageMs };
}
