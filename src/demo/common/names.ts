/**
 * The names of the deployment that the demo runs, as its manifest has them.
 */

export const regions = { kingston: 'kingston', montego: 'montego', ocho: 'ocho' } as const;

export const services = { assistant: 'round-assistant', bookings: 'bookings' } as const;

/** Each organisation's home is the region of the same key. */
export const organisations = {
	kingston: 'harbour-hotel',
	montego: 'bay-offices',
	ocho: 'cliff-homes',
} as const;

/** The header by which the stand-in of a plain service knows a call again. */
export const callIdHeader = 'x-call-id';
