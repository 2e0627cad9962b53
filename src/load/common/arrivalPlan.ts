/**
 * Arrival times of an open run, drawn before it begins. Latency is counted from these times: a generator
 * that waits for a slow answer before it sends the next request leaves out just those requests that would
 * have waited longest, and reports a stalled service as a fast one (coordinated omission).
 */

import type { IRandom } from '../../base/common/random';
import type { LoadOptions } from './loadOptions';
import { ArrivalProfile } from './loadOptions';

/** One period of the burst profile, in milliseconds. */
export const burstPeriodMs = 2_000;
/** How long the peak at the start of a period lasts, in milliseconds. */
export const burstLengthMs = 200;
/** The peak's rate as a multiple of the mean rate. */
export const burstFactor = 5.5;

/** What a plan depends on. */
export type ArrivalQuestion = Pick<LoadOptions, 'ratePerSecond' | 'durationMs' | 'profile'>;

/** Gives the arrival times in milliseconds from the start of the run, ascending and below its duration. */
export function planArrivals(question: ArrivalQuestion, random: IRandom): number[] {
	const ratePerMs = question.ratePerSecond / 1_000;
	const arrivals: number[] = [];
	let expectedCount = 0;
	for (;;) {
		const atMs = computeArrival(question.profile, expectedCount / ratePerMs);
		if (atMs >= question.durationMs) {
			return arrivals;
		}
		arrivals.push(atMs);
		expectedCount += question.profile === ArrivalProfile.Steady ? 1 : pickGap(random);
	}
}

/** An exponentially distributed gap with mean 1. */
function pickGap(random: IRandom): number {
	return -Math.log(1 - random.pickFraction());
}

/** Maps the time at which a steady rate would have brought an arrival to the profile's time for it. */
function computeArrival(profile: ArrivalProfile, steadyMs: number): number {
	if (profile !== ArrivalProfile.Burst) {
		return steadyMs;
	}
	const periodStartMs = Math.floor(steadyMs / burstPeriodMs) * burstPeriodMs;
	const insideMs = steadyMs - periodStartMs;
	const peakShareMs = burstLengthMs * burstFactor;
	if (insideMs < peakShareMs) {
		return periodStartMs + insideMs / burstFactor;
	}
	const quietFactor = (burstPeriodMs - peakShareMs) / (burstPeriodMs - burstLengthMs);
	return periodStartMs + burstLengthMs + (insideMs - peakShareMs) / quietFactor;
}
