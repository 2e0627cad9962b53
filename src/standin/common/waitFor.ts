/**
 * Promise-based delays on the timer service.
 */

import type { ITimerService } from '../../base/common/timerService';

/** Resolves after `delayMs`. */
export function waitFor(timers: ITimerService, delayMs: number): Promise<void> {
	return new Promise(resolve => {
		timers.schedule(delayMs, resolve);
	});
}
