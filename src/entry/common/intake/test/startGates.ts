/** Start gates for tests. */

import type { IStartGate } from '../loopLagGate';

/** Delays nothing. */
export const openStartGate: IStartGate = {
	run: start => {
		start();
	},
};
