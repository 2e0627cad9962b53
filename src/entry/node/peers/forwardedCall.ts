/**
 * Decodes the head of a request that another entry forwarded, and creates the call that is served here.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type {
	InstanceId,
	OrganisationName,
	RegionName,
	RequestId,
	ServiceName,
} from '../../../core/ids/common/ids';
import { findRequestClass } from '../../../core/requests/common/requestClass';
import type { ForwardHead } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { CallHead, ForwardedKey, RawHead } from '../../common/callers/callHead';
import { listForwardedLines } from '../../common/callers/callHead';
import type { ReadTime } from '../../common/intake/arrivalTime';
import { estimateArrivalMs } from '../../common/intake/arrivalTime';
import type { KeyOwner } from '../../common/keys/callerKey';
import type { CallPlan } from '../../common/placement/callPlan';
import { decodeOrigin } from '../streams/originCodec';
import { decodeHistory } from './attemptHistoryCodec';
import { decodeKeyDigest } from './keyDigestCodec';
import type { AcceptedCall } from '../requests/requestRun';

/** Parses a head like one that a caller sent to this entry directly. */
export type ReadRoutedHead = (raw: RawHead) => Result<CallHead, RequestError>;

/** Finds the owner of the key of a call that names its service, in this entry's own manifest. */
export type ResolveForwardedKey = (key: ForwardedKey) => Result<KeyOwner | undefined, RequestError>;

/** Parses a forwarded head. A call that is routed by host and path is routed by this entry's own manifest. */
export function readForwardedHead(
	message: ForwardHead,
	readRoutedHead: ReadRoutedHead,
	resolveKey: ResolveForwardedKey,
): Result<CallHead, RequestError> {
	const forwardedKey = { digest: decodeKeyDigest(message.keyDigest) };
	if (message.host === '') {
		return resolveKey(forwardedKey).andThen(owner => readNamedHead(message, owner));
	}
	const { method, path: url } = message;
	const lines = [...message.headers, { name: 'host', value: message.host }];
	return readRoutedHead({ method, url, lines, forwardedKey }).map(head => {
		const lastEventId = message.lastEventId === '' ? undefined : message.lastEventId;
		const routed = head.routed && { ...head.routed, lastEventId };
		return { ...head, deadlineMs: message.remainingMs, ...(routed === undefined ? {} : { routed }) };
	});
}

function readNamedHead(message: ForwardHead, owner: KeyOwner | undefined): Result<CallHead, RequestError> {
	const requestClass = findRequestClass(message.requestClass);
	if (requestClass === undefined) {
		return err(createRequestError(ErrorKind.MalformedClass, message.requestClass));
	}
	return ok({
		service: message.service as ServiceName,
		organisation: owner?.organisation.name ?? (message.organisation as OrganisationName),
		...(owner === undefined ? {} : { keyDigest: owner.keyDigest }),
		requestClass,
		method: message.method,
		path: message.path,
		deadlineMs: message.remainingMs,
		prefixKey: message.prefixKey === '' ? undefined : message.prefixKey,
		ticket: message.ticket === '' ? undefined : message.ticket,
		forwardedLines: listForwardedLines(message.headers),
	});
}

/** Creates the call of a forwarded request whose body is complete. */
export function createForwardedCall(
	message: ForwardHead,
	head: CallHead,
	plan: CallPlan,
	body: Uint8Array,
	readTime: ReadTime,
): AcceptedCall {
	const arrivedMs = estimateArrivalMs(readTime, message.remainingMs);
	const { origin, fromInstance, attempts, maxRuns } = message;
	const streamOrigin = origin && { ...decodeOrigin(origin), source: fromInstance, learnedMs: arrivedMs };
	return {
		id: message.requestId as RequestId,
		head,
		plan,
		body,
		arrivedMs,
		deadlineMs: arrivedMs + message.remainingMs,
		isDeadlineGiven: message.isDeadlineGiven,
		...(message.startWithinMs === undefined ? {} : { startByMs: arrivedMs + message.startWithinMs }),
		...(streamOrigin === undefined ? {} : { streamOrigin }),
		...(attempts === undefined ? {} : { history: decodeHistory(attempts) }),
		...(maxRuns === undefined ? {} : { maxRuns }),
		...(isContinuation(message) ? { isContinuation: true } : {}),
		origin: { instance: fromInstance as InstanceId, region: message.fromRegion as RegionName },
	};
}

/**
 * Whether the caller has the head of the answer. Entries of earlier releases don't say so and pass any answer on: from them,
 * a request to go on after an event that a target may have run before is taken for one.
 */
function isContinuation({ isContinuation: isReported, lastEventId, attempts }: ForwardHead): boolean {
	return isReported ?? (lastEventId !== '' && attempts !== undefined && attempts.possibleRuns > 0);
}
