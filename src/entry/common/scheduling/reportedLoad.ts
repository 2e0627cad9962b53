/**
 * Reads the load that a target reports in a header of its answers: the numbers of running and waiting requests and of
 * slots, and optionally the slowness in percent. Further figures are ignored.
 */

import type { ReportedLoad } from './serviceScheduler';

/** What a load header says. */
export interface LoadReading {
	readonly load: ReportedLoad | undefined;
	/** The text of the header if it, or one of its known figures, can't be read. */
	readonly unreadable: string | undefined;
}

const countPattern = /^\d{1,6}$/;
const slownessPattern = /^\d{1,6}(?:\.\d{1,6})?$/;

/** The usual slowness, as reported. */
const usualSlownessPercent = 100;

/** Reads a load header. If only the slowness can't be read, the other figures are used. */
export function readReportedLoad(text: string | undefined, separator: string): LoadReading {
	if (text === undefined) {
		return { load: undefined, unreadable: undefined };
	}
	const [running = '', waiting = '', slots = '', slowness] = text.split(separator);
	if (![running, waiting, slots].every(count => countPattern.test(count))) {
		return { load: undefined, unreadable: text };
	}
	const load = { running: Number(running), waiting: Number(waiting), slots: Number(slots), ageMs: 0 };
	if (slowness === undefined) {
		return { load, unreadable: undefined };
	}
	const percent = slownessPattern.test(slowness) ? Number(slowness) : 0;
	return percent > 0
		? { load: { ...load, slowness: percent / usualSlownessPercent }, unreadable: undefined }
		: { load, unreadable: text };
}
