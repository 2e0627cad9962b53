/**
 * Rendezvous hashing of prompt prefixes to targets. Every entry computes the same ranking without
 * coordination, so requests with one prefix reach the target that caches it. When a target is added or
 * removed, only the prefixes that rank it first move. Without the ranking, a prefix is computed again on every
 * target that receives one of its requests, and every cache holds a copy of the same few prefixes.
 */

import type { TargetId } from '../../../core/ids/common/ids';

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a over the UTF-16 units of a text, as an unsigned 32-bit number. */
export function computeTextHash(text: string): number {
	let hash = fnvOffsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
	}
	return hash >>> 0;
}

/**
 * Combines two hashes so that each input bit affects half of the output bits on average (finalizer of
 * MurmurHash3).
 */
export function computeMixedHash(left: number, right: number): number {
	let hash = left ^ Math.imul(right, 0x9e3779b1);
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/** A target with the precomputed hash of its id. */
export interface RankedTarget {
	readonly id: TargetId;
	readonly idHash: number;
}

/** Hashes are below this number. */
const hashRange = 0x1_0000_0000;

/**
 * Returns up to `maxTargets` targets with the highest scores for a prefix, best first.
 * @param getWeight the relative number of prefixes that a target ranks first for; equal for all if absent
 */
export function findBestRanked<TTarget extends RankedTarget>(
	targets: readonly TTarget[],
	prefixKey: string,
	maxTargets: number,
	getWeight?: (target: TTarget) => number,
): TTarget[] {
	const keyHash = computeTextHash(prefixKey);
	const best: TTarget[] = [];
	const scores: number[] = [];
	for (const target of targets) {
		const hash = computeMixedHash(keyHash, target.idHash);
		const score = getWeight === undefined ? hash : computeWeightedScore(hash, getWeight(target));
		if (best.length === maxTargets && score <= (scores[maxTargets - 1] ?? 0)) {
			continue;
		}
		let index = best.length;
		while (index > 0 && (scores[index - 1] ?? 0) < score) {
			index--;
		}
		best.splice(index, 0, target);
		scores.splice(index, 0, score);
		best.length = Math.min(best.length, maxTargets);
		scores.length = Math.min(scores.length, maxTargets);
	}
	return best;
}

/** The score of weighted rendezvous hashing. With equal weights, the order is that of the hashes. */
function computeWeightedScore(hash: number, weight: number): number {
	return -weight / Math.log((hash + 0.5) / hashRange);
}
