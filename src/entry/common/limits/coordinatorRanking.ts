/**
 * The order in which the entries of a zone become its limit coordinator: by hash, so that all entries that know the same
 * ones choose alike without messages, and the choice changes only if the coordinator itself comes or goes.
 */

import type { InstanceId } from '../../../core/ids/common/ids';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

const orderHash = computeTextHash('limit coordinator');

/** Returns the first entry in the order, or undefined if there is none. */
export function pickCoordinator(entries: readonly InstanceId[]): InstanceId | undefined {
	let best: InstanceId | undefined;
	let bestScore = -1;
	for (const entry of entries) {
		const score = computeMixedHash(orderHash, computeTextHash(entry));
		if (score > bestScore || (score === bestScore && best !== undefined && entry < best)) {
			best = entry;
			bestScore = score;
		}
	}
	return best;
}
