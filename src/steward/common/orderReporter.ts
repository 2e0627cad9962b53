/**
 * Tells of the events of one engine, and remembers the last, so that a condition that lasts is told once.
 */

import type { EngineState, EngineTarget } from './engineOrder';
import type { OrderObserver } from './orderEvents';
import { OrderEventKind } from './orderEvents';

/** Passes events on. */
export class OrderReporter {
	private last: OrderEventKind | undefined;

	constructor(private readonly observe: OrderObserver) {}

	getLast(): OrderEventKind | undefined {
		return this.last;
	}

	/** A new order makes a load that was slow before a load like any other. */
	clearSlow(): void {
		this.last = this.last === OrderEventKind.Slow ? undefined : this.last;
	}

	emit(kind: OrderEventKind, detail: string, target: EngineTarget, state: EngineState | undefined): void {
		this.last = kind;
		this.observe({ kind, target, state, detail });
	}

	/** Tells of a condition when it begins. */
	emitOnce(kind: OrderEventKind, detail: string, target: EngineTarget, state: EngineState | undefined): void {
		if (this.last !== kind) {
			this.emit(kind, detail, target, state);
		}
	}

	/** An engine that was found to be as it should has not changed, and is no line of the audit trail. */
	emitInForce(target: EngineTarget, state: EngineState | undefined): void {
		if (this.last !== undefined) {
			this.emitOnce(OrderEventKind.InForce, 'read back', target, state);
		}
	}
}
