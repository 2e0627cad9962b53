/**
 * Ranks requests whose organisation has a priority of its own. The organisation's priority goes first, and requests of
 * organisations with the same priority are ranked by their routes. If the organisation's priority alone counted, the short
 * questions and the long prompts of organisations with one priority would rank equally, and under load questions would
 * wait behind long prompts until they are refused.
 */

/** The priorities that apply to a request; 0 is the most urgent. */
export interface PriorityPair {
	/** Undefined if the organisation has none, or the request has no organisation. */
	readonly organisation: number | undefined;
	readonly route: number;
}

/** Priorities that a target distinguishes within one priority of organisations. */
const routeRanks = 3;

/** Returns the urgency for scheduling: a whole number without an organisation's priority, else possibly a fraction. */
export function computeUrgency({ organisation, route }: PriorityPair): number {
	return organisation === undefined ? route : organisation + route / (route + 1);
}

/** Returns the rank among the requests that have an organisation's priority, in whole numbers from 0 up. */
export function computeRank(organisation: number, route: number): number {
	return organisation * routeRanks + Math.min(route, routeRanks - 1);
}
