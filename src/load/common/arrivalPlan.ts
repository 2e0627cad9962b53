/**
 * Computes the arrival times of an open-loop run before the run starts. Latency is measured from these planned
 * times. A generator that waits for a slow answer before it sends the next request omits the requests that would
 * have waited longest, and reports a stalled service as fast (coordinated omission).
 */

import type { IRandom } from '../../base/common/random';
import type { LoadOptions } from './loadOptions';
import { ArrivalProfile } from './loadOptions';

/** Length of one period of the burst profile, in milliseconds. */
export const burstPeriodMs = 2_000;
/** Duration of the peak at the start of each period, in milliseconds. */
export const burstPeakMs = 200;
/** Request rate during the peak, as a multiple of the mean rate. */
export const burstPeakFactor = 5.5;

/** The load options that determine the arrival times. */
export type ArrivalOptions = Pick<LoadOptions, 'ratePerSecond' | 'durationMs' | 'profile'>;

/** Returns the arrival times in milliseconds since the start of the run, in ascending order and below its duration. */
export function planArrivals(options: ArrivalOptions, random: IRandom): number[] {
	const ratePerMs = options.ratePerSecond / 1_000;
	const arrivals: number[] = [];
	let expectedCount = 0;
	for (;;) {
		const atMs = computeArrivalMs(options.profile, expectedCount / ratePerMs);
		if (atMs >= options.durationMs) {
			return arrivals;
		}
		arrivals.push(atMs);
		expectedCount += options.profile === ArrivalProfile.Steady ? 1 : pickExponentialGap(random);
	}
}

/** Returns an exponentially distributed gap with a mean of 1. */
function pickExponentialGap(random: IRandom): number {
	return -Math.log(1 - random.pickFraction());
}

/**
 * Maps the time of an arrival at a constant rate to its time in the profile. For the burst profile, each period is
 * compressed during the peak and stretched after it, which keeps the mean rate.
 */
function computeArrivalMs(profile: ArrivalProfile, steadyMs: number): number {
	if (profile !== ArrivalProfile.Burst) {
		return steadyMs;
	}
	const periodStartMs = Math.floor(steadyMs / burstPeriodMs) * burstPeriodMs;
	const offsetMs = steadyMs - periodStartMs;
	const steadyMsInPeak = burstPeakMs * burstPeakFactor;
	if (offsetMs < steadyMsInPeak) {
		return periodStartMs + offsetMs / burstPeakFactor;
	}
	const offPeakFactor = (burstPeriodMs - steadyMsInPeak) / (burstPeriodMs - burstPeakMs);
	return periodStartMs + burstPeakMs + (offsetMs - steadyMsInPeak) / offPeakFactor;
}
