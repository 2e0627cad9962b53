/**
 * How long another entry may be silent. With a fixed budget of bytes a view is renewed more rarely the
 * larger the fleet is; a fixed limit would let a fleet of hundreds suspect its own live members all the
 * time, empty its lookups and give each entry a too large part of the targets.
 */

import type { SilenceTimeouts } from '../../../core/instances/common/instanceLifecycle';
import type { FleetView } from '../../common/fleetView/fleetView';

/** Reads the limits off the fleet view each time they are asked. */
export class FleetSilenceLimits implements SilenceTimeouts {
	constructor(private readonly views: FleetView) {}

	get suspectAfterMs(): number {
		return this.views.computeSuspectAfter();
	}

	get removeAfterMs(): number {
		return this.views.computeForgetAfter();
	}
}
