/**
 * What an engine's state means for the order that the manifest wants of it.
 */

import type { EngineState, EngineTarget } from './engineOrder';
import { isObeyed } from './engineOrder';

export enum OrderDecision {
	/** The engine does what it is to do. */
	InForce = 'InForce',
	/** It has the order and is loading. */
	Loading = 'Loading',
	/** It is to be ordered. */
	Behind = 'Behind',
	/** A newer version has been seen than the one this order follows from: no order may be given from it. */
	Superseded = 'Superseded',
}

/**
 * Decides on an engine, by its state and the highest version of the manifest that was seen anywhere, the
 * engine's own fencing number included.
 *
 * An engine that checks fencing numbers is behind also while its number is: an order of a version in
 * between, still under way from a slow steward, would otherwise pass the check and undo what holds now. For
 * an engine that does not check them the number would change nothing, so what it holds decides alone.
 */
export function decideOrder(target: EngineTarget, state: EngineState, highestSeen: number): OrderDecision {
	const { order, checksFencing } = target;
	if (highestSeen > order.fence) {
		return OrderDecision.Superseded;
	}
	const hasOldFence = checksFencing && state.fence !== order.fence;
	if (!isObeyed(state, order) || hasOldFence) {
		return OrderDecision.Behind;
	}
	return state.isLoading ? OrderDecision.Loading : OrderDecision.InForce;
}
