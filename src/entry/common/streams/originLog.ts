/**
 * The origins that this entry (proxy process) reports to its holders, in the order in which they became known. Each holder has a
 * position in the log, so a holder that takes the place of another one also receives the origins of streams that are in progress.
 */

import type { StreamKey } from './streamOrigins';
import { isSameOrigin, originRetentionMs } from './streamOrigins';
import type { StreamOrigin } from './streamOrigin';

interface LoggedOrigin {
	readonly position: number;
	readonly key: StreamKey;
	readonly origin: StreamOrigin;
	readonly loggedMs: number;
}

/** Streams with the same origin. */
export interface OriginGroup {
	readonly origin: StreamOrigin;
	readonly keys: StreamKey[];
}

/** The origins to send to a holder. */
export interface OriginBatch {
	readonly groups: readonly OriginGroup[];
	/** The position after the last origin of the batch. */
	readonly endPosition: number;
}

/** Bounds the bytes of one message, and the origins that a new holder receives at once. */
const maxBatchOrigins = 500;

export class OriginLog {
	private origins: LoggedOrigin[] = [];
	private nextPosition = 0;

	/** The position after the latest origin. */
	get endPosition(): number {
		return this.nextPosition;
	}

	add(key: StreamKey, origin: StreamOrigin, nowMs: number): void {
		this.origins.push({ position: this.nextPosition++, key, origin, loggedMs: nowMs });
	}

	/** Removes the origins of streams that are no longer resumed. */
	expire(nowMs: number): void {
		if (this.origins.some(({ loggedMs }) => nowMs - loggedMs > originRetentionMs)) {
			this.origins = this.origins.filter(({ loggedMs }) => nowMs - loggedMs <= originRetentionMs);
		}
	}

	/** Returns the latest origins from a position on, or undefined if there are none. */
	createBatch(fromPosition: number): OriginBatch | undefined {
		const due = this.origins.filter(({ position }) => position >= fromPosition).slice(-maxBatchOrigins);
		if (due.length === 0) {
			return undefined;
		}
		const groups: OriginGroup[] = [];
		for (const { key, origin } of due) {
			const group = groups.find(known => isSameOrigin(known.origin, origin));
			if (group === undefined) {
				groups.push({ origin, keys: [key] });
			} else {
				group.keys.push(key);
			}
		}
		return { groups, endPosition: this.nextPosition };
	}
}
