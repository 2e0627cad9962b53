/**
 * The origins of streams that this entry (proxy process) began, and of those that other entries reported to it, for as long as
 * callers may resume the streams.
 */

import { xxh64 } from '@node-rs/xxhash';
import { LRUCache } from 'lru-cache';
import type { StreamId } from '../../../core/ids/common/ids';
import type { KnownOrigin, StreamOrigin } from './streamOrigin';

/** The hash of a stream id. Two streams that callers could resume at the same time do not share one in practice. */
export type StreamKey = bigint;

export function computeStreamKey(stream: StreamId): StreamKey {
	return xxh64(stream);
}

/** Exceeds the time that callers wait for an answer, in milliseconds. */
export const originRetentionMs = 30_000;

/** Bounds memory; exceeds the streams that an entry begins or holds for others within the retention at a peak. */
const maxOrigins = 20_000;

interface OriginRecord {
	readonly origin: KnownOrigin;
	/** Whether another origin was reported for the same stream, so that neither can be relied on. */
	readonly isContradicted: boolean;
}

export class StreamOrigins {
	private readonly records = new LRUCache<StreamKey, OriginRecord>({ max: maxOrigins });

	get size(): number {
		return this.records.size;
	}

	/** Adds an origin. Once two different ones are known for a stream, it counts as unknown. */
	add(key: StreamKey, origin: KnownOrigin): void {
		const known = this.findRecord(key, origin.learnedMs);
		const isContradicted =
			known !== undefined && (known.isContradicted || !isSameOrigin(known.origin, origin));
		this.records.set(key, { origin, isContradicted });
	}

	find(key: StreamKey, nowMs: number): KnownOrigin | undefined {
		const record = this.findRecord(key, nowMs);
		return record === undefined || record.isContradicted ? undefined : record.origin;
	}

	private findRecord(key: StreamKey, nowMs: number): OriginRecord | undefined {
		const record = this.records.get(key);
		return record !== undefined && nowMs - record.origin.learnedMs <= originRetentionMs ? record : undefined;
	}
}

export function isSameOrigin(left: StreamOrigin, right: StreamOrigin): boolean {
	return left.service === right.service && left.version === right.version;
}
