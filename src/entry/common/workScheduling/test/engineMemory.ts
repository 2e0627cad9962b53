/**
 * The memory of a modelled engine: tokens reserved by running requests, and cached prompt parts. Parts in use stay; the
 * least recently used of the others are evicted when memory is needed.
 */

interface CachedPart {
	readonly tokens: number;
	users: number;
}

/** Counts the tokens in an engine's memory. */
export class EngineMemory {
	/** Least recently used first. */
	private readonly parts = new Map<string, CachedPart>();
	private reservedTokens = 0;
	private partTokens = 0;

	constructor(private readonly maxTokens: number) {}

	hasPart(id: string): boolean {
		return this.parts.has(id);
	}

	/** Caches a part unless parts in use leave no room. */
	keepPart(id: string, tokens: number): void {
		if (tokens > 0 && !this.parts.has(id) && this.clearRoom(tokens)) {
			this.parts.set(id, { tokens, users: 0 });
			this.partTokens += tokens;
		}
	}

	/** Keeps a cached part in memory until `releasePart`, or returns false if it is not cached. */
	takePart(id: string): boolean {
		const part = this.parts.get(id);
		if (part === undefined) {
			return false;
		}
		part.users++;
		this.parts.delete(id);
		this.parts.set(id, part);
		return true;
	}

	releasePart(id: string): void {
		const part = this.parts.get(id);
		if (part !== undefined) {
			part.users--;
		}
	}

	reserve(tokens: number): void {
		this.reservedTokens += tokens;
	}

	release(tokens: number): void {
		this.reservedTokens -= tokens;
	}

	/** Evicts unused parts until the given tokens fit, and returns whether they do. */
	clearRoom(tokens: number): boolean {
		for (const [id, part] of this.parts) {
			if (this.reservedTokens + this.partTokens + tokens <= this.maxTokens) {
				return true;
			}
			if (part.users === 0) {
				this.parts.delete(id);
				this.partTokens -= part.tokens;
			}
		}
		return this.reservedTokens + this.partTokens + tokens <= this.maxTokens;
	}
}
