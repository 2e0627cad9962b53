/**
 * Chooses the entries (proxy processes) that hold the origins of the streams which one entry begins, for the time when that entry is gone.
 *
 * The holders depend on the entry and not on the stream, so that the origins of many streams travel in one message. One holder is in
 * another availability zone of the region, where callers come back first, and one in another region. The loss of a zone or of a region,
 * or a cut between them, leaves one of the three that know an origin. Other entries need not agree on the choice, because an entry that
 * looks for an origin asks all of them.
 */

import type { InstanceId, RegionName, ZoneName } from '../../../core/ids/common/ids';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

/** An entry and where it is. */
export interface HolderCandidate {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly zone: ZoneName;
}

/** Returns up to two holders, the one that is nearest to callers first. */
export function pickHolders<TEntry extends HolderCandidate>(
	self: HolderCandidate,
	candidates: readonly TEntry[],
): readonly TEntry[] {
	const ranked = orderFor(self.instance, candidates);
	const isNear = ({ region }: HolderCandidate): boolean => region === self.region;
	const first =
		ranked.find(entry => isNear(entry) && entry.zone !== self.zone) ?? ranked.find(isNear) ?? ranked[0];
	const others = ranked.filter(entry => entry !== first);
	const second =
		others.find(({ region }) => region !== first?.region) ??
		others.find(({ zone }) => zone !== first?.zone) ??
		others[0];
	return [first, second].filter(holder => holder !== undefined);
}

/** Returns the entries in an order that differs from entry to entry and changes little when one comes or goes. */
function orderFor<TEntry extends HolderCandidate>(
	self: InstanceId,
	candidates: readonly TEntry[],
): readonly TEntry[] {
	const selfHash = computeTextHash(self);
	return candidates
		.map(entry => ({ entry, score: computeMixedHash(selfHash, computeTextHash(entry.instance)) }))
		.sort((left, right) => right.score - left.score)
		.map(({ entry }) => entry);
}
