/**
 * The keys of the callers of a campaign, and the organisations that a campaign adds to the example: one of which a key is
 * withdrawn, and one that sends far more than its limit.
 */

/** The organisation of which a key is withdrawn, and that key. */
export const guest = { organisation: 'guest-tours', withdrawnKey: 'key-of-guest-tours-2' } as const;

/** The organisation that sends more than its limit. */
export const overloading = {
	organisation: 'busy-tours',
	/**
	 * High enough that chance alone does not exceed the bound of 1.25: in 8 s, 255 admissions at random have a standard
	 * deviation of about 15, and the bound is 63 above them.
	 */
	limit: { unit: 'requests', perSecond: 30, burst: 15 },
} as const;

/** Returns the key that callers of an organisation send. */
export function getOrganisationKey(organisation: string): string {
	return `key-of-${organisation}`;
}

/** Formats the header with a key. */
export function formatAuthorization(key: string): Readonly<Record<string, string>> {
	return { authorization: `Bearer ${key}` };
}
