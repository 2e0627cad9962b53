/**
 * Provides how long another entry may send no new view before it is suspected, and before it expires. Views are
 * exchanged with a fixed byte budget, so each view is refreshed less often in a larger fleet. With fixed limits, a
 * fleet of hundreds would permanently suspect live members, return too few entries in lookups and give each entry too
 * large a share of the targets.
 */

import type { SilenceTimeouts } from '../../../core/instances/common/instanceLifecycle';
import type { FleetView } from '../../common/fleetView/fleetView';

/** Computes the limits from the fleet view on each access. */
export class FleetSilenceLimits implements SilenceTimeouts {
	constructor(private readonly views: FleetView) {}

	get suspectAfterMs(): number {
		return this.views.computeSuspectTimeout();
	}

	get removeAfterMs(): number {
		return this.views.computeExpiryTimeout();
	}
}
