/**
 * Renders the output of `anvilroadctl trail`: one line for each audit record, oldest first.
 */

import type { TrailRecord } from '../../core/status/common/operatorsAnswers';
import { formatForTerminal } from './formatting';

/** An audit record and the instance that recorded it. */
export interface InstanceTrailRecord {
	readonly instance: string;
	readonly record: TrailRecord;
}

/**
 * Merges the audit records of several entries by timestamp. The wall clocks of the entries may differ slightly.
 * The records of a single entry keep their recorded order, even if its clock was set back in between.
 */
export function mergeTrails(trails: readonly (readonly InstanceTrailRecord[])[]): InstanceTrailRecord[] {
	const [first = [], ...others] = trails;
	if (others.length === 0) {
		return [...first];
	}
	return trails.flat().sort((left, right) => left.record.at.localeCompare(right.record.at));
}

/** Renders `2026-01-01T08:00:00.000Z  entry-1  target bookings-1: serving -> failed  (connect refused; manifest 12)`. */
export function renderTrailRecord({ instance, record }: InstanceTrailRecord): string {
	const { at, kind, subject, from, to, sign, manifestVersion } = record;
	const changed = subject === kind ? kind : `${kind} ${subject}`;
	const version = manifestVersion === null ? '' : `; manifest ${manifestVersion}`;
	return formatForTerminal(`${at}  ${instance}  ${changed}: ${from} -> ${to}  (${sign}${version})`);
}
