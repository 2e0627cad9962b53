/**
 * Models which shared prompt parts the prefix cache of a target holds. The load it is designed for is long prompts
 * that are mostly shared. An inference engine processes some fifty prompt tokens in a millisecond, so a shared
 * part of thirteen thousand tokens takes a quarter of a second if it is not cached. Without knowing where a part
 * is cached, every engine of a region would process every part again and again.
 *
 * The model contains what this entry (proxy process) sent to the target, and evicts the least recently used parts
 * beyond the size of the cache. It is wrong where other entries send other parts. Since all entries rank the
 * targets of a part by the same hash, they mostly send the same parts to a target.
 */

import { LRUCache } from 'lru-cache';
import type { PromptShape } from '../prompts/promptShape';

/**
 * Share of a target's cache that is assumed to hold shared parts. Running requests and the parts that belong to a single
 * request take the rest.
 */
const sharedPartsMemoryShare = 0.6;

/** Estimated cache contents of one target. */
export class PrefixCacheModel {
	private readonly parts: LRUCache<string, number> | undefined;

	/** @param tokens size of the target's cache in tokens; 0 if it caches nothing */
	constructor(tokens: number) {
		const maxSize = Math.floor(tokens * sharedPartsMemoryShare);
		this.parts = maxSize > 0 ? new LRUCache({ maxSize, sizeCalculation: size => size }) : undefined;
	}

	hasPart(id: string): boolean {
		return this.parts?.has(id) === true;
	}

	/** Counts the tokens of a prompt that are not cached. A part counts as cached only if all parts before it are. */
	countMissing({ parts, promptTokens }: PromptShape): number {
		let cached = 0;
		for (const { id, tokens } of parts) {
			if (!this.hasPart(id)) {
				break;
			}
			cached += tokens;
		}
		return Math.max(0, promptTokens - cached);
	}

	/** Records the parts of a prompt sent to the target, except the last, which belongs to this request alone. */
	noteSent({ parts }: PromptShape): void {
		for (const { id, tokens } of parts.slice(0, -1)) {
			this.parts?.set(id, Math.max(1, tokens));
		}
	}
}
