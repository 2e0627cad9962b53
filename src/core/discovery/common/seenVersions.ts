/**
 * The software versions that the store has shown for each service, and since when they are all known.
 *
 * A listing does not show the targets that left just before it, so an entry that has just started does not know the versions that served
 * before. Another entry that followed the store meanwhile does. Its history is taken over if it reaches the first listing of this entry:
 * it is complete up to a revision of the store, and so no change is missing between the two if that is at least the revision of the
 * listing. Clocks don't matter for that, nor whether that entry reaches the store now. The history holds all versions that are known
 * there, so that a version which left in between is not lost.
 */

import type { ServiceName, SoftwareVersion } from '../../ids/common/ids';
import type { FollowStart, StorePosition } from '../../store/common/storeFollower';

/** A version that was registered for a service; undefined if the registration named none. */
export interface SeenVersion {
	readonly service: ServiceName;
	readonly version: SoftwareVersion | undefined;
	/** Milliseconds since the registration was known to be present. */
	readonly ageMs: number;
}

/** What one entry knows of the registered versions. */
export interface VersionHistory extends StorePosition {
	/** Time for which all changes up to the position are known, in milliseconds. */
	readonly followedMs: number;
	readonly versions: readonly SeenVersion[];
}

interface PastVersion extends Omit<SeenVersion, 'ageMs'> {
	readonly untilMs: number;
}

/** What was taken over from other entries for the time before a listing. */
interface EarlierTime {
	readonly start: StorePosition;
	readonly sinceMs: number;
}

/** How long versions that are no longer registered are kept, in milliseconds. */
const retentionMs = 60_000;

export class SeenVersions {
	private past: PastVersion[] = [];
	private earlier: EarlierTime | undefined;

	/** Records that a registration was replaced or removed. */
	noteEnd({ service, version }: Omit<SeenVersion, 'ageMs'>, untilMs: number): void {
		this.expire(untilMs);
		this.past.push({ service, version, untilMs });
	}

	/** Lists the versions of a service that were registered within `spanMs` and are no longer so. */
	listPast(service: ServiceName, spanMs: number, nowMs: number): readonly (SoftwareVersion | undefined)[] {
		return this.past
			.filter(seen => seen.service === service && nowMs - seen.untilMs < spanMs)
			.map(({ version }) => version);
	}

	/** Since when all versions are known, in monotonic milliseconds. */
	getKnownSinceMs(start: FollowStart | undefined): number {
		if (start === undefined) {
			return Number.POSITIVE_INFINITY;
		}
		const { earlier } = this;
		const isContinued = earlier !== undefined && isSamePosition(earlier.start, start);
		return isContinued ? Math.min(earlier.sinceMs, start.sinceMs) : start.sinceMs;
	}

	/**
	 * Adds the versions that another entry has seen. Takes its knowledge of the time before over if that reaches the listing since which
	 * this entry follows the store.
	 */
	add(history: VersionHistory, start: FollowStart, receivedMs: number): void {
		this.expire(receivedMs);
		for (const seen of history.versions) {
			this.past.push({ service: seen.service, version: seen.version, untilMs: receivedMs - seen.ageMs });
		}
		// Without an era, a store restored from an older copy looks like the one before.
		const isSameStore = start.era !== undefined && history.era === start.era;
		if (isSameStore && history.revision >= start.revision) {
			const sinceMs = Math.min(this.getKnownSinceMs(start), receivedMs - history.followedMs);
			const { revision, era } = start;
			this.earlier = { start: { revision, era }, sinceMs };
		}
	}

	/** Describes what is known for another entry. */
	describe(
		present: readonly SeenVersion[],
		position: StorePosition,
		start: FollowStart,
		nowMs: number,
	): VersionHistory {
		const past = this.past.map(({ service, version, untilMs }) => ({
			service,
			version,
			ageMs: Math.max(0, nowMs - untilMs),
		}));
		const { revision, era } = position;
		return {
			revision,
			era,
			// Versions that left before that are not kept.
			followedMs: Math.min(retentionMs, Math.max(0, nowMs - this.getKnownSinceMs(start))),
			versions: listLatest([...present, ...past].filter(({ ageMs }) => ageMs < retentionMs)),
		};
	}

	private expire(nowMs: number): void {
		this.past = this.past.filter(seen => nowMs - seen.untilMs < retentionMs);
	}
}

/** Keeps the latest time of each version. */
function listLatest(seen: readonly SeenVersion[]): readonly SeenVersion[] {
	const latest = new Map<string, SeenVersion>();
	for (const item of seen) {
		const key = JSON.stringify([item.service, item.version]);
		if (item.ageMs < (latest.get(key)?.ageMs ?? Number.POSITIVE_INFINITY)) {
			latest.set(key, item);
		}
	}
	return [...latest.values()];
}

function isSamePosition(left: StorePosition, right: StorePosition): boolean {
	return left.revision === right.revision && left.era === right.era;
}
