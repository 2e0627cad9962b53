/**
 * A gauge that counts objects by state. When no object is in a state any more, the time series of that state is
 * removed. Otherwise it would keep its last count, and an alert on failed targets would never resolve.
 */

import type { Gauge } from 'prom-client';

/** Sets the counts by state of one owner at a time, such as a service. */
export class StateGauge<TLabel extends string> {
	private readonly statesByOwner = new Map<string, ReadonlySet<string>>();

	/**
	 * @param gauge A gauge with the label `state` and the labels that identify the owner.
	 * @param createLabels Returns the labels for an owner and a state.
	 */
	constructor(
		private readonly gauge: Gauge<TLabel>,
		private readonly createLabels: (owner: string, state: string) => Record<TLabel, string>,
	) {}

	/** Replaces the counts of an owner; states that are not in the map are removed. */
	set(owner: string, countsByState: ReadonlyMap<string, number>): void {
		for (const state of this.statesByOwner.get(owner) ?? []) {
			if (!countsByState.has(state)) {
				this.gauge.remove(this.createLabels(owner, state));
			}
		}
		for (const [state, count] of countsByState) {
			this.gauge.set(this.createLabels(owner, state), count);
		}
		this.statesByOwner.set(owner, new Set(countsByState.keys()));
	}

	remove(owner: string): void {
		this.set(owner, new Map());
		this.statesByOwner.delete(owner);
	}
}
