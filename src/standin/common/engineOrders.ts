/**
 * The engine's answer to orders: which it obeys, what it holds, and what it is loading. Some engines refuse
 * an order that carries an older fencing number than one they have obeyed; others obey anything.
 */

import { z } from 'zod';

/** An order as it arrives; the fencing number orders them, where the engine checks it. */
export const engineOrderSchema = z.strictObject({
	fence: z.number().int().min(0),
	model: z.string().min(1),
	version: z.string().min(1),
	adapters: z.array(z.string().min(1)),
	role: z.string().min(1),
});

export type EngineOrder = z.output<typeof engineOrderSchema>;

/** What the engine says of itself. */
export interface EngineOrderState {
	readonly model: string | undefined;
	readonly version: string | undefined;
	readonly adapters: readonly string[];
	readonly role: string;
	/** Fencing number of the last order that was obeyed. */
	readonly fence: number | undefined;
	/** Whether weights of the model named here are still being loaded. */
	readonly loading: boolean;
}

/** What an order led to. */
export enum OrderVerdict {
	/** Obeyed; nothing had to be loaded. */
	Applied = 'applied',
	/** Obeyed; the weights are now being loaded. */
	LoadStarted = 'load-started',
	/** Refused: the engine has obeyed a newer fencing number. */
	Superseded = 'superseded',
}

/** Counts of orders. */
export interface OrderCounters {
	obeyed: number;
	superseded: number;
	/** Obeyed although a newer fencing number had been obeyed before. */
	obeyedOlder: number;
	loads: number;
}

/** Decides on orders; the caller carries out the load and reports its end. */
export class EngineOrderDesk {
	private loadNumber = 0;
	private readonly counters: OrderCounters = { obeyed: 0, superseded: 0, obeyedOlder: 0, loads: 0 };

	constructor(
		private readonly checksFencing: boolean,
		private state: EngineOrderState,
	) {}

	getState(): EngineOrderState {
		return this.state;
	}

	getCounters(): Readonly<OrderCounters> {
		return { ...this.counters };
	}

	apply(order: EngineOrder): OrderVerdict {
		const isOlder = this.state.fence !== undefined && order.fence < this.state.fence;
		if (isOlder && this.checksFencing) {
			this.counters.superseded++;
			return OrderVerdict.Superseded;
		}
		this.counters.obeyed++;
		this.counters.obeyedOlder += isOlder ? 1 : 0;
		const needsLoad = this.hasOtherWeights(order);
		this.state = { ...order, loading: needsLoad || this.state.loading };
		if (!needsLoad) {
			return OrderVerdict.Applied;
		}
		this.loadNumber++;
		this.counters.loads++;
		return OrderVerdict.LoadStarted;
	}

	/** Names the load that was started last; the end of an earlier one changes nothing. */
	getLoadNumber(): number {
		return this.loadNumber;
	}

	finishLoad(loadNumber: number): void {
		if (loadNumber === this.loadNumber) {
			this.state = { ...this.state, loading: false };
		}
	}

	private hasOtherWeights(order: EngineOrder): boolean {
		const { model, version, adapters } = this.state;
		const hasAdapters = order.adapters.every(adapter => adapters.includes(adapter));
		return order.model !== model || order.version !== version || !hasAdapters;
	}
}
