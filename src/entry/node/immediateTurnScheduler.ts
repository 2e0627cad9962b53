/**
 * Schedules callbacks on turns of Node's event loop.
 */

import type { ITurnScheduler } from '../common/intake/requestIntake';

/** Runs callbacks in the check phase, which follows the poll phase of the event loop. */
export class ImmediateTurnScheduler implements ITurnScheduler {
	schedule(run: () => void): void {
		setImmediate(run);
	}
}
