/**
 * A delay as a promise, on the timer service's clock.
 */

import type { ITimerService } from '../../base/common/timerService';

/** Resolves after `delayMs`. */
export function waitFor(timers: ITimerService, delayMs: number): Promise<void> {
	return new Promise(resolve => {
		timers.schedule(delayMs, resolve);
	});
}
