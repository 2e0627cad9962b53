/**
 * Which parts of prompts a target is believed to hold. Load pattern: long prompts of which the greater part
 * is shared. An engine reads some fifty tokens in a millisecond, so a shared part of thirteen thousand
 * tokens takes a quarter of a second unless it is held; without knowing where it is held, each engine of a
 * region reads each part again and again.
 *
 * The belief is what this entry sent there, with the least recently used parts given up beyond the target's
 * memory. It errs where other entries send other parts; they rank targets for a part by the same hash, so
 * the parts that meet at a target are mostly the same ones.
 */

import { LRUCache } from 'lru-cache';
import type { PromptShape } from '../prompts/promptShape';

/**
 * The part of a target's memory that shared parts are taken to fill. Running requests and the parts that
 * are one request's own take the rest.
 */
const sharedMemory = 0.6;

/** What one target is believed to hold. */
export class PromptCache {
	private readonly parts: LRUCache<string, number> | undefined;

	/** @param tokens the target's memory in tokens; 0 where it caches nothing */
	constructor(tokens: number) {
		const maxSize = Math.floor(tokens * sharedMemory);
		this.parts = maxSize > 0 ? new LRUCache({ maxSize, sizeCalculation: size => size }) : undefined;
	}

	/** Whether the part is held. */
	has(id: string): boolean {
		return this.parts?.has(id) === true;
	}

	/** Tokens of a prompt that would have to be read: a part counts as held only if all before it are. */
	countMissing({ parts, promptTokens }: PromptShape): number {
		let held = 0;
		for (const { id, tokens } of parts) {
			if (!this.has(id)) {
				break;
			}
			held += tokens;
		}
		return Math.max(0, promptTokens - held);
	}

	/** A prompt was sent there; its last part is its own and is shared with none. */
	noteSent({ parts }: PromptShape): void {
		for (const { id, tokens } of parts.slice(0, -1)) {
			this.parts?.set(id, Math.max(1, tokens));
		}
	}
}
