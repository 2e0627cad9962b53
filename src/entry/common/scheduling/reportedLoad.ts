/**
 * Parses the load that a target reports in a header of its answers.
 */

import type { ReportedLoad } from './serviceScheduler';

/** Parses `running/waiting/slots`, followed by any further figures. Returns undefined for a missing or malformed value. */
export function parseReportedLoad(text: string | undefined): ReportedLoad | undefined {
	const match = /^(\d{1,6})\/(\d{1,6})\/(\d{1,6})(?:\/.*)?$/.exec(text ?? '');
	if (match === null) {
		return undefined;
	}
	const [running = 0, waiting = 0, slots = 0] = match.slice(1).map(Number);
	return { running, waiting, slots, ageMs: 0 };
}
