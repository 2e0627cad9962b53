/**
 * What is known of a request's prompt before it is read: its parts, which other requests may share, and its
 * sizes in tokens. From it the work of a request and the place of its cached parts are estimated.
 */

/** One part of a prompt; a cache that holds it and all parts before it need not read it again. */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

/** A prompt with the answer that is expected. */
export interface PromptShape {
	/** In their order in the prompt; the last one belongs to the request itself. */
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	/** The most tokens that may be generated. */
	readonly mostOutputTokens: number;
	/** The caller's own estimate of what will be generated, or undefined. */
	readonly hintedOutputTokens: number | undefined;
}

/**
 * The part by which requests are brought together: the last of those that others may share, since a cache must
 * hold all parts before it too. Parts near the root are shared by so many that they are soon held everywhere.
 * Undefined where nothing is shared, or where what is shared is so small that reading it again costs less than
 * being bound to a target.
 */
export function findSharedPart({ parts }: PromptShape, leastTokens: number): PromptPart | undefined {
	return parts
		.slice(0, -1)
		.filter(({ tokens }) => tokens >= leastTokens)
		.at(-1);
}
