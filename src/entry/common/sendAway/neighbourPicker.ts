/**
 * Picks the entry (proxy process) of the same region that serves the requests of one that reaches no target. All requests of
 * the entry go to others then, so the less busy one of two random neighbours gets each. A neighbour that could not
 * be reached, or reaches no target either, is left out for a while: views that say so arrive seconds later.
 */

import type { IRandom } from '../../../base/common/random';
import { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { InstanceId } from '../../../core/ids/common/ids';

/** A neighbour with the wait that it reported. */
export interface Neighbour {
	readonly instance: InstanceId;
	readonly waitMs: number;
}

const leaveOutMs = 2_000;

/** Errors that tell that the neighbour can't serve other requests either. */
const unservingKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.NoTarget, ErrorKind.PeerUnreachable]);

/** Picks neighbours for one entry. */
export class NeighbourPicker {
	private readonly leftOutUntilMs = new Map<InstanceId, number>();

	constructor(private readonly random: IRandom) {}

	pick(neighbours: readonly Neighbour[], nowMs: number): InstanceId | undefined {
		const usable = neighbours.filter(({ instance }) => nowMs >= (this.leftOutUntilMs.get(instance) ?? 0));
		const one = usable[this.random.pickBelow(usable.length)];
		const other = usable[this.random.pickBelow(usable.length)];
		if (one === undefined || other === undefined) {
			return undefined;
		}
		return one.waitMs <= other.waitMs ? one.instance : other.instance;
	}

	/** Records the error with which a forwarded request ended, if any. */
	noteEnd(instance: InstanceId, error: ErrorKind | undefined, nowMs: number): void {
		if (error !== undefined && unservingKinds.has(error)) {
			this.leftOutUntilMs.set(instance, nowMs + leaveOutMs);
		} else {
			this.leftOutUntilMs.delete(instance);
		}
	}
}
