/**
 * The engine's cache of prompt prefixes, limited by the tokens it holds; the prefix that was used least
 * lately makes room.
 */

import { LRUCache } from 'lru-cache';

/** Counts of the cache's work. */
export interface PrefixCacheCounters {
	readonly hits: number;
	readonly misses: number;
	readonly tokensHeld: number;
}

/** Remembers how many tokens of each prefix have been read. */
export class PrefixCache {
	private readonly prefixes: LRUCache<string, number> | undefined;
	private hits = 0;
	private misses = 0;

	constructor(
		private readonly capacityTokens: number,
		private readonly onStored: (prefixKey: string) => void,
		private readonly onEvicted: (prefixKey: string) => void,
	) {
		if (capacityTokens > 0) {
			this.prefixes = new LRUCache<string, number>({
				maxSize: capacityTokens,
				sizeCalculation: tokens => tokens,
				dispose: (_tokens, prefixKey, reason) => {
					if (reason === 'evict') {
						this.onEvicted(prefixKey);
					}
				},
			});
		}
	}

	/** Uses a prefix and gives the tokens of it that need not be read again. */
	take(prefixKey: string, prefixTokens: number): number {
		const heldTokens = this.prefixes?.get(prefixKey) ?? 0;
		if (heldTokens > 0) {
			this.hits++;
		} else {
			this.misses++;
		}
		if (prefixTokens > heldTokens && prefixTokens <= this.capacityTokens) {
			this.prefixes?.set(prefixKey, prefixTokens);
			this.onStored(prefixKey);
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
