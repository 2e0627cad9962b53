/**
 * Simulates an engine's cache of prompt prefixes. Its capacity is a number of tokens, and the least recently used
 * prefix is evicted first.
 */

import { LRUCache } from 'lru-cache';

/** Hits and misses since the start, and the current size. */
export interface PrefixCacheCounters {
	readonly hits: number;
	readonly misses: number;
	readonly tokensHeld: number;
}

/** Stores the number of processed tokens of each prefix. */
export class PrefixCache {
	private readonly prefixes: LRUCache<string, number> | undefined;
	private hits = 0;
	private misses = 0;

	constructor(
		private readonly capacityTokens: number,
		private readonly onDidStore: (prefixKey: string) => void,
		private readonly onDidEvict: (prefixKey: string) => void,
	) {
		if (capacityTokens > 0) {
			this.prefixes = new LRUCache<string, number>({
				maxSize: capacityTokens,
				sizeCalculation: tokens => tokens,
				dispose: (_tokens, prefixKey, reason) => {
					if (reason === 'evict') {
						this.onDidEvict(prefixKey);
					}
				},
			});
		}
	}

	/**
	 * Looks up a prefix, and stores it if it is longer than the cached one and fits the capacity. Returns the number
	 * of its tokens that were cached before.
	 */
	recordUse(prefixKey: string, prefixTokens: number): number {
		const heldTokens = this.prefixes?.get(prefixKey) ?? 0;
		if (heldTokens > 0) {
			this.hits++;
		} else {
			this.misses++;
		}
		if (prefixTokens > heldTokens && prefixTokens <= this.capacityTokens) {
			this.prefixes?.set(prefixKey, prefixTokens);
			this.onDidStore(prefixKey);
		}
		return Math.min(heldTokens, prefixTokens);
	}

	clear(): void {
		this.prefixes?.clear();
	}

	getCounters(): PrefixCacheCounters {
		return { hits: this.hits, misses: this.misses, tokensHeld: this.prefixes?.calculatedSize ?? 0 };
	}
}
