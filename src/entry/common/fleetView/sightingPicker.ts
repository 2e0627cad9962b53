/**
 * Selects the crash sightings of a view within a byte limit. When many targets crash at once, an entry holds hundreds of
 * sightings for some seconds, and sending all of them in each exchange would take seconds of processor time.
 *
 * Sightings of refused requests come first, because a restarted entry learns them only from views. If not all of them
 * fit, a random part of them is sent, so that a peer receives the others in later exchanges.
 */

import type { IRandom } from '../../../base/common/random';
import { orderRandomly } from '../../../base/common/random';
import type { CrashSightingView } from './entryView';
import { estimateSightingBytes } from './entryView';

/**
 * Returns the sightings to send.
 *
 * @param sightings Ordered by descending priority. Requests with several sightings are those that are refused.
 */
export function pickSightings(
	sightings: readonly CrashSightingView[],
	maxBytes: number,
	random: IRandom,
): readonly CrashSightingView[] {
	if (sightings.reduce((sum, sighting) => sum + estimateSightingBytes(sighting), 0) <= maxBytes) {
		return sightings;
	}
	const repeated = listRepeated(sightings);
	const refused = orderRandomly(
		random,
		sightings.filter(({ fingerprint }) => repeated.has(fingerprint)),
	);
	const suspects = sightings.filter(({ fingerprint }) => !repeated.has(fingerprint));
	return takeWithin([...refused, ...suspects], maxBytes);
}

function listRepeated(sightings: readonly CrashSightingView[]): ReadonlySet<string> {
	const seen = new Set<string>();
	const repeated = new Set<string>();
	for (const { fingerprint } of sightings) {
		(seen.has(fingerprint) ? repeated : seen).add(fingerprint);
	}
	return repeated;
}

/** Returns the first sightings that together do not exceed the byte limit. */
export function takeWithin<TSighting extends CrashSightingView>(
	sightings: readonly TSighting[],
	maxBytes: number,
): readonly TSighting[] {
	let bytes = 0;
	const end = sightings.findIndex(sighting => {
		bytes += estimateSightingBytes(sighting);
		return bytes > maxBytes;
	});
	return end < 0 ? sightings : sightings.slice(0, end);
}
