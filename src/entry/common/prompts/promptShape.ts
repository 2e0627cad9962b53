/**
 * What is known about the prompt of a request before it is read: its parts, which other requests may share, and
 * its lengths in tokens. The work of a request and the location of its cached parts are estimated from this.
 */

/** One part of a prompt. A cache that holds the part and all parts before it does not need to read the part again. */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

/** The parts and lengths of a prompt and the expected length of its answer. */
export interface PromptShape {
	/** In prompt order. The last part belongs to this request only. */
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	/** Maximum number of tokens that may be generated. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the number of tokens that will be generated, or undefined. */
	readonly hintedOutputTokens: number | undefined;
}

/**
 * Returns the part by which requests are sent to the same cache: the last of the parts that other requests may
 * share, because a cache must hold all parts before it too. The first parts are shared by so many requests that
 * they are soon cached everywhere. Parts below `minTokens` are ignored, because reading them again costs less than
 * tying the request to a target. Returns undefined if no part remains.
 */
export function findSharedPart({ parts }: PromptShape, minTokens: number): PromptPart | undefined {
	return parts
		.slice(0, -1)
		.filter(({ tokens }) => tokens >= minTokens)
		.at(-1);
}
