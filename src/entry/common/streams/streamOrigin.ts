/**
 * The origin of a stream: the service and the software version of the target that sent its first event.
 *
 * Targets of several software versions serve side by side, and what two versions write doesn't fit together. A stream
 * that has events therefore goes on only at the version that began it. It may be interrupted more than once and go on
 * in the same answer, or in a later try at another entry (proxy process), so its origin belongs to the stream and not
 * to an attempt.
 */

import type { BootId, ServiceName, SoftwareVersion, StreamId } from '../../../core/ids/common/ids';

/** The service and version that began a stream. */
export interface StreamOrigin {
	readonly service: ServiceName;
	readonly version: SoftwareVersion;
}

/** An origin, who reported it and when. */
export interface KnownOrigin extends StreamOrigin {
	/** The entry that reported it to this one, or `ownSource`. */
	readonly source: string;
	/** When this entry learned of it, in monotonic milliseconds. */
	readonly learnedMs: number;
}

/** The source of an origin that this entry observed itself. */
export const ownSource = 'this entry';

/** The continuation of a stream whose caller has received events. */
export interface Continuation {
	readonly stream: StreamId;
	/** The last event that the caller has received. */
	readonly afterEvent: string;
	/** Undefined if it is not known, which matches no target. */
	readonly origin: KnownOrigin | undefined;
}

/** The software that a target runs according to its registration. */
export interface TargetSoftware {
	readonly version: SoftwareVersion | undefined;
	/** The start of the target's process. */
	readonly boot: BootId | undefined;
}

/** Describes a continuation for the request journal. */
export function describeContinuation({ stream, afterEvent, origin }: Continuation, nowMs: number): string {
	const begun =
		origin === undefined
			? 'begun at an unknown version'
			: `begun at ${origin.service} ${origin.version}, known from ${origin.source} for ${Math.round(nowMs - origin.learnedMs)} ms`;
	return `continues stream ${stream} after event ${afterEvent}, ${begun}`;
}

/** Describes the software of a target for the request journal. */
export function describeSoftware({ version, boot }: TargetSoftware): string {
	return `target runs version ${version ?? 'unknown'}, boot ${boot ?? 'unknown'}`;
}
