/**
 * A delay that can be aborted.
 */

import type { ITimerService } from './timerService';

/** Resolves after `delayMs`, or as soon as the signal is aborted. */
export async function waitFor(timers: ITimerService, delayMs: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = (): void => {
			timer.dispose();
			signal.removeEventListener('abort', finish);
			resolve();
		};
		const timer = timers.schedule(delayMs, finish);
		signal.addEventListener('abort', finish, { once: true });
	});
}
