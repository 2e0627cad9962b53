/**
 * Spreads callers that draw one of the entries named to them at random. Load pattern: all callers of a zone
 * press at once, and its instances differ in size. Drawn evenly, a small instance gets as much as one of four
 * times its processor: its requests wait seconds before anybody reads them, callers leave meanwhile, and the
 * large ones idle. So an entry is named as often as its processor is larger than the smallest.
 *
 * A caller that drops repeated names is spread evenly, as without this.
 */

/** An entry whose processor may be known. */
export interface ISized {
	/** In cores at usual speed; undefined where nobody told it. */
	readonly processorCores: number | undefined;
}

/**
 * The entries, some of them more than once, at most `most` names in all. Each is named once before any is named
 * again, so that a bound on the names costs weight and not entries. One of unknown size counts as the smallest.
 */
export function listByProcessor<TEntry extends ISized>(
	entries: readonly TEntry[],
	most: number,
): readonly TEntry[] {
	const sizes = entries.map(({ processorCores }) => processorCores).filter(size => size !== undefined);
	const smallest = Math.min(...sizes);
	const countNames = ({ processorCores = smallest }: TEntry): number =>
		sizes.length === 0 ? 1 : Math.max(1, Math.round(processorCores / smallest));
	const named = [...entries];
	for (let round = 2; named.length < most; round++) {
		const again = entries.filter(entry => countNames(entry) >= round);
		if (again.length === 0) {
			break;
		}
		named.push(...again);
	}
	return named.slice(0, most);
}
