/**
 * What happens to orders, for counters and the audit trail.
 */

import type { EngineState, EngineTarget } from './engineOrder';

export enum OrderEventKind {
	/** The engine took the order. */
	Accepted = 'accepted',
	/** The engine does what the manifest says, after an order or by itself. */
	InForce = 'in-force',
	/** The engine answered the order with a refusal. */
	Refused = 'refused',
	/** The engine took the order and does not follow it. */
	Ignored = 'ignored',
	/** The engine has been loading for longer than a load may take. */
	Slow = 'slow',
	/** A newer version was seen: nothing is ordered until that version is here. */
	Superseded = 'superseded',
	/** The engine could not be reached. */
	Unreachable = 'unreachable',
	/** The platform could not confirm the version, and the engine would not refuse an old order. */
	Unconfirmed = 'unconfirmed',
}

/** One event of one engine. */
export interface OrderEvent {
	readonly kind: OrderEventKind;
	readonly target: EngineTarget;
	/** The engine's state as it was read last. */
	readonly state: EngineState | undefined;
	/** Why, for people. */
	readonly detail: string;
}

/** Is told of every event. */
export type OrderObserver = (event: OrderEvent) => void;
