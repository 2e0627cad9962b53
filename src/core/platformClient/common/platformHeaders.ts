/**
 * HTTP headers of the platform's API.
 */

export const headers = {
	/** Response header with the version of the document; only the platform increments it. */
	version: 'platform-version',
} as const;
