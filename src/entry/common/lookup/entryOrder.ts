/**
 * The order in which a lookup names entries: the caller's availability zone, then its region, then the
 * rest; within each, at random, so that callers spread evenly without a balancer.
 */

import type { IRandom } from '../../../base/common/random';
import type { NamedEntry } from '../../../platform/errors/common/errorKinds';

/** Whose lookup it is. */
export interface LookupPlace {
	readonly region: string;
	/** Undefined where the caller's zone is not known. */
	readonly zone: string | undefined;
	/** The entry that the caller used before. */
	readonly previous: string | undefined;
}

interface RankedEntry {
	readonly entry: NamedEntry;
	readonly rank: number;
	readonly draw: number;
}

function rankEntry(entry: NamedEntry, place: LookupPlace): number {
	if (entry.region !== place.region) {
		return 2;
	}
	return entry.zone === place.zone ? 0 : 1;
}

/** Gives the entries in the order in which the caller should try them. */
export function sortEntries(
	entries: readonly NamedEntry[],
	place: LookupPlace,
	random: IRandom,
): readonly NamedEntry[] {
	const ranked: RankedEntry[] = entries.map(entry => ({
		entry,
		rank: rankEntry(entry, place),
		draw: entry.instance === place.previous ? -1 : random.pickFraction(),
	}));
	ranked.sort((left, right) => left.rank - right.rank || left.draw - right.draw);
	return ranked.map(({ entry }) => entry);
}
