/**
 * A delay that can be aborted, and waits with a time limit.
 */

import type { IDisposable } from './lifecycle';
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

/** Returns the result of `work`, or undefined if it has none after `limitMs`. */
export async function waitForResult<TValue>(
	timers: ITimerService,
	limitMs: number,
	work: Promise<TValue>,
): Promise<TValue | undefined> {
	let limit: IDisposable | undefined;
	const first = await Promise.race([
		work,
		new Promise<undefined>(resolve => {
			limit = timers.schedule(limitMs, () => {
				resolve(undefined);
			});
		}),
	]);
	limit?.dispose();
	return first;
}
