/**
 * The ids that modules and processes exchange. Each has its own type, so that ids are not mixed up.
 */

import type { Brand } from '../../../base/common/brand';

/** Assigned by the entry that first receives a request; used in answers, logs and `anvilroadctl explain`. */
export type RequestId = Brand<string, 'RequestId'>;
/** Identifies one attempt to run a request at a target: the request id and the number of the attempt. */
export type AttemptId = Brand<string, 'AttemptId'>;
/** The name of an instance, from its settings or the platform's instance list; unchanged by restarts. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** Identifies one start of an instance. A random value, so that a restarted instance is not mistaken for the old one. */
export type BootId = Brand<string, 'BootId'>;
export type TargetId = Brand<string, 'TargetId'>;
/** The base URL of a registered target, `http://IP:PORT`. Always valid, so that connections can be opened without a check. */
export type TargetUrl = Brand<string, 'TargetUrl'>;
/** The version of a target's own software, not of the model weights that it serves. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
/** Identifies a stream over its tries: the caller's request id of the try that received the first event. */
export type StreamId = Brand<string, 'StreamId'>;
export type OrganisationName = Brand<string, 'OrganisationName'>;
/** SHA-256 digest of a caller's key, in hexadecimal. The key itself is never stored. */
export type KeyDigest = Brand<string, 'KeyDigest'>;
export type ServiceName = Brand<string, 'ServiceName'>;
export type RouteName = Brand<string, 'RouteName'>;
export type RegionName = Brand<string, 'RegionName'>;
export type ZoneName = Brand<string, 'ZoneName'>;
export type ModelName = Brand<string, 'ModelName'>;
/** The version of a manifest, assigned by the platform. Manifests are ordered by version only. */
export type ManifestVersion = Brand<number, 'ManifestVersion'>;
/** The hash of a body, or of a service, an organisation and a body, in hexadecimal. */
export type Fingerprint = Brand<string, 'Fingerprint'>;

/**
 * Creates the id of an attempt. Two entries can make attempts for the same request: the entry that received the
 * request and the entry that it was forwarded to. Their ids must differ.
 *
 * @param attemptNumber Starts at 1.
 * @param isForwarded Whether the attempt is made by the entry that the request was forwarded to.
 */
export function createAttemptId(
	requestId: RequestId,
	attemptNumber: number,
	isForwarded: boolean,
): AttemptId {
	return `${requestId}.${isForwarded ? 'f' : ''}${attemptNumber}` as AttemptId;
}
