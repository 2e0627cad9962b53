/**
 * A delay that can be aborted, and a wait with a time limit.
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

/** Resolves when `work` has ended, or after `limitMs`. */
export async function waitAtMost(
	timers: ITimerService,
	limitMs: number,
	work: Promise<unknown>,
): Promise<void> {
	await new Promise<void>(resolve => {
		const limit = timers.schedule(limitMs, resolve);
		void work.then(() => {
			limit.dispose();
			resolve();
		});
	});
}
