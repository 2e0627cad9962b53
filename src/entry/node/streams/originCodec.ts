/**
 * Converts origins of streams between the entry's own types and the peer protocol's messages.
 */

import { create } from '@bufbuild/protobuf';
import type { ServiceName, SoftwareVersion } from '../../../core/ids/common/ids';
import type {
	StreamOrigin as WireOrigin,
	StreamOriginGroup as WireGroup,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import { StreamOriginGroupSchema, StreamOriginSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { OriginGroup } from '../../common/streams/originLog';
import type { StreamOrigin } from '../../common/streams/streamOrigin';

/** Encodes an origin as a protocol message. */
export function encodeOrigin({ service, version }: StreamOrigin): WireOrigin {
	return create(StreamOriginSchema, { service, version });
}

/** Encodes streams with the same origin as a protocol message. */
export function encodeGroup({ origin, keys }: OriginGroup): WireGroup {
	return create(StreamOriginGroupSchema, { origin: encodeOrigin(origin), streamKeys: keys });
}

/** Decodes an origin of the peer protocol. */
export function decodeOrigin({ service, version }: WireOrigin): StreamOrigin {
	return { service: service as ServiceName, version: version as SoftwareVersion };
}

/** Decodes the groups of a message, and leaves out those without an origin. */
export function decodeGroups(groups: readonly WireGroup[]): readonly OriginGroup[] {
	return groups.flatMap(({ origin, streamKeys }) =>
		origin === undefined ? [] : [{ origin: decodeOrigin(origin), keys: streamKeys }],
	);
}
