/**
 * Waits for something that can only be asked for, such as another process's readiness.
 */

import type { ITimerService } from '../../base/common/timerService';

const pollPeriodMs = 50;

/** Waits for a time. */
export function waitFor(timers: ITimerService, delayMs: number): Promise<void> {
	return new Promise(resolve => {
		timers.schedule(delayMs, resolve);
	});
}

/** Asks until the answer is yes, and gives false when it still is not after `limitMs`. */
export async function waitUntil(
	timers: ITimerService,
	limitMs: number,
	ask: () => Promise<boolean>,
): Promise<boolean> {
	const endMs = timers.getNow() + limitMs;
	for (;;) {
		if (await ask()) {
			return true;
		}
		if (timers.getNow() >= endMs) {
			return false;
		}
		await waitFor(timers, pollPeriodMs);
	}
}
