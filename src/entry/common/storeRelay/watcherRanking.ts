/**
 * Chooses the entries of a region that watch the platform's store for the others. The load pattern: each change of the
 * store wakes every watcher, so with hundreds of entries that all watch, the calls grow with entries times changes.
 *
 * The watchers are the first ones of an order by hash (rendezvous hashing), which is the same at all entries that know the
 * same ones, and changes only around an entry that comes or goes. Entries may disagree: whoever is asked for the changes
 * watches the store itself, so a wrong choice costs calls and no news.
 */

import type { InstanceId } from '../../../core/ids/common/ids';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

/** Entries that one watcher feeds: each costs it a heartbeat and a copy of each change. */
const entriesPerWatcher = 40;

/** Returns the watchers among the entries of a region. */
export function rankWatchers(entries: readonly InstanceId[]): readonly InstanceId[] {
	const ranked = entries.map(instance => ({ instance, hash: computeTextHash(`watcher ${instance}`) }));
	ranked.sort((left, right) => left.hash - right.hash || (left.instance < right.instance ? -1 : 1));
	return ranked.slice(0, Math.ceil(entries.length / entriesPerWatcher)).map(({ instance }) => instance);
}

/**
 * Returns the watcher that an entry follows, or undefined if the entry is a watcher itself. The entries of a region are
 * spread over its watchers.
 */
export function pickWatcher(own: InstanceId, others: readonly InstanceId[]): InstanceId | undefined {
	const watchers = rankWatchers([own, ...others]);
	return watchers.includes(own) ? undefined : pickOf(own, watchers);
}

/** Returns the watcher among the others, for an entry that the store does not answer; undefined if there are no others. */
export function pickOther(own: InstanceId, others: readonly InstanceId[]): InstanceId | undefined {
	return pickOf(own, rankWatchers(others));
}

/**
 * Returns an entry of this region or, where an entry of another region is preferred and there is one, of that. All entries of
 * a region may have lost the store together.
 */
export function pickOtherAnywhere(
	own: InstanceId,
	others: readonly InstanceId[],
	entriesElsewhere: readonly (readonly InstanceId[])[],
	isAnyRegion: boolean,
): InstanceId | undefined {
	const watchers = entriesElsewhere.flatMap(entries => pickOther(own, entries) ?? []);
	const elsewhere = isAnyRegion ? pickOther(own, watchers) : undefined;
	return elsewhere ?? pickOther(own, others);
}

function pickOf(own: InstanceId, watchers: readonly InstanceId[]): InstanceId | undefined {
	const ownHash = computeTextHash(own);
	const mixed = watchers.map(instance => ({
		instance,
		hash: computeMixedHash(ownHash, computeTextHash(instance)),
	}));
	return mixed.sort((left, right) => left.hash - right.hash)[0]?.instance;
}
