/**
 * How long another entry may be silent. With a fixed budget of bytes a view is renewed more rarely the
 * larger the fleet is; a fixed limit would let a fleet of hundreds suspect its own live members all the
 * time, empty its lookups and give each entry a too large part of the targets.
 */

import type { SilenceLimits } from '../../../core/instances/common/instanceLife';
import type { FleetView } from '../../common/fleetView/fleetView';

/** Reads the limits off the fleet view each time they are asked. */
export class FleetSilenceLimits implements SilenceLimits {
	constructor(private readonly views: FleetView) {}

	get suspectMs(): number {
		return this.views.computeSuspectTimeout();
	}

	get forgetMs(): number {
		return this.views.computeExpiryTimeout();
	}
}
