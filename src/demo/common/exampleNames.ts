/**
 * Names of regions, services and organisations in the manifest of the example that the demo runs.
 */

export const regions = { kingston: 'kingston', montego: 'montego', ocho: 'ocho' } as const;

export const services = { assistant: 'round-assistant', bookings: 'bookings' } as const;

/** Organisations by the key of their home region. */
export const organisations = {
	kingston: 'harbour-hotel',
	montego: 'bay-offices',
	ocho: 'cliff-homes',
} as const;

/** The header with the id under which the stand-in of a plain service counts the runs of a call. */
export const callIdHeader = 'x-call-id';
