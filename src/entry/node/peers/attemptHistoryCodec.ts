/**
 * Encodes the attempts of a forwarded request.
 */

import { create } from '@bufbuild/protobuf';
import type { TargetId } from '../../../core/ids/common/ids';
import type { AttemptHistory as WireHistory } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { AttemptHistorySchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { AttemptHistory } from '../../common/requests/attemptHistory';

export function encodeHistory({ sends, possibleRuns, triedTargets, isCounted }: AttemptHistory): WireHistory {
	return create(AttemptHistorySchema, { sends, possibleRuns, triedTargets: [...triedTargets], isCounted });
}

export function decodeHistory({ sends, possibleRuns, triedTargets, isCounted }: WireHistory): AttemptHistory {
	return { sends, possibleRuns, triedTargets: triedTargets.map(target => target as TargetId), isCounted };
}
