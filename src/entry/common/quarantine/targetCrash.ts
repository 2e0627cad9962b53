/**
 * Crashes of targets at which a request, or a part of prompts, was in flight. Several entries (proxy processes) report the
 * same crash, each at a slightly different time.
 */

import type { TargetId } from '../../../core/ids/common/ids';

export interface TargetCrash {
	readonly target: TargetId;
	readonly atMs: number;
}

/** Returns the time of the last of the crashes, which are in order of time; -Infinity if there are none. */
export function getLastCrashMs(crashes: readonly TargetCrash[]): number {
	return crashes.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
}

/** Whether the crash is among the others: one of the same target, less than the window apart. */
export function isCrashAmong(
	crash: TargetCrash,
	others: readonly TargetCrash[],
	sameCrashWindowMs: number,
): boolean {
	return others.some(
		({ target, atMs }) => target === crash.target && Math.abs(atMs - crash.atMs) < sameCrashWindowMs,
	);
}

/** Adds a crash in order of time, and keeps the last `maxCrashes` of all. */
export function addCrash(
	crashes: readonly TargetCrash[],
	crash: TargetCrash,
	maxCrashes: number,
): readonly TargetCrash[] {
	return [...crashes, crash].sort((left, right) => left.atMs - right.atMs).slice(-maxCrashes);
}
