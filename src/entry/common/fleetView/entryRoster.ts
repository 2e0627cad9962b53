/**
 * The entries (proxy processes) that may send to the targets of a region, whether they are live or not. Limits that all
 * entries share are divided by these. If they were divided by the entries that are live at the moment, each entry that
 * has just started, or suspects others, would take their shares while they use them too.
 */

import type { InstanceId } from '../../../core/ids/common/ids';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

/** The entries that share a limit, as one of them knows them. */
export interface EntryRoster {
	readonly self: InstanceId;
	/** The other entries that were known lately. */
	readonly others: readonly InstanceId[];
	/** The largest number of entries that this one or another one knew lately, including this one. */
	readonly size: number;
	/** Whether `size` is reliable. An entry that has just started does not know how many others there are. */
	readonly isKnown: boolean;
}

/**
 * Returns the index of this entry in an order of all entries that depends on the limit, for example the one of a target,
 * and is the same at each entry. Entries that it does not know count as being before it, so the index is never below its
 * place among all of them unless `size` is too small. Infinite if the fleet is not known.
 */
export function computeSenderRank({ self, others, size, isKnown }: EntryRoster, limit: string): number {
	if (!isKnown) {
		return Number.POSITIVE_INFINITY;
	}
	const limitHash = computeTextHash(limit);
	const computeScore = (entry: InstanceId): number => computeMixedHash(limitHash, computeTextHash(entry));
	const ownScore = computeScore(self);
	const before = others.filter(entry => {
		const score = computeScore(entry);
		return score > ownScore || (score === ownScore && entry < self);
	}).length;
	const unknown = Math.max(0, size - others.length - 1);
	return before + unknown;
}

/**
 * Returns how many of `total` units this entry may use. They are divided in whole units, and the remainder goes to
 * the first entries of the order: in a large fleet an equal part would be less than one unit, so that nobody could
 * use it.
 *
 * @param rank Zero-based index of this entry in the order of those that share the units; infinite if it is not known.
 */
export function computeWholeShare(total: number, entries: number, rank: number): number {
	return Math.floor(total / entries) + (rank < total % entries ? 1 : 0);
}
