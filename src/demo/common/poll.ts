/**
 * Timed waits and polling, for conditions without a notification such as the readiness of another process.
 */

import type { ITimerService } from '../../base/common/timerService';

const pollIntervalMs = 50;

/** Resolves after `delayMs`. */
export function waitFor(timers: ITimerService, delayMs: number): Promise<void> {
	return new Promise(resolve => {
		timers.schedule(delayMs, resolve);
	});
}

/** Polls a condition until it is met. Resolves to false when it is still unmet after `timeoutMs`. */
export async function waitUntil(
	timers: ITimerService,
	timeoutMs: number,
	isConditionMet: () => Promise<boolean>,
): Promise<boolean> {
	const endMs = timers.getNow() + timeoutMs;
	for (;;) {
		if (await isConditionMet()) {
			return true;
		}
		if (timers.getNow() >= endMs) {
			return false;
		}
		await waitFor(timers, pollIntervalMs);
	}
}
