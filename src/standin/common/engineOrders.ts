/**
 * Handles orders to change the model, version, adapters or role of a simulated engine. Some engines refuse an order
 * whose fencing number is lower than that of the last order they applied. Other engines apply every order.
 */

import { z } from 'zod';

/** The body of an order. Engines that check fencing numbers use `fence` to refuse outdated orders. */
export const engineOrderSchema = z.strictObject({
	fence: z.number().int().min(0),
	model: z.string().min(1),
	version: z.string().min(1),
	adapters: z.array(z.string().min(1)),
	role: z.string().min(1),
});

export type EngineOrder = z.output<typeof engineOrderSchema>;

/** The state that an engine reports. */
export interface EngineOrderState {
	readonly model: string | undefined;
	readonly version: string | undefined;
	readonly adapters: readonly string[];
	readonly role: string;
	/** Fencing number of the last order that was applied. */
	readonly fence: number | undefined;
	/** Whether the weights of this model and version are still being loaded. */
	readonly loading: boolean;
}

/** The result of an order. */
export enum OrderVerdict {
	/** Applied. No weights had to be loaded. */
	Applied = 'applied',
	/** Applied. The loading of weights has started. */
	LoadStarted = 'load-started',
	/** Refused, since the engine has applied an order with a higher fencing number. */
	Superseded = 'superseded',
}

/** Counters of orders since the start. */
export interface OrderCounters {
	obeyed: number;
	superseded: number;
	/** Orders applied although the order before had a higher fencing number. */
	obeyedOlder: number;
	loads: number;
}

/** Decides whether to apply an order. The caller loads the weights and reports the end of the load. */
export class EngineOrderProcessor {
	private latestLoadId = 0;
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
		const needsLoad = this.isWeightLoadNeeded(order);
		this.state = { ...order, loading: needsLoad || this.state.loading };
		if (!needsLoad) {
			return OrderVerdict.Applied;
		}
		this.latestLoadId++;
		this.counters.loads++;
		return OrderVerdict.LoadStarted;
	}

	/** Returns the ID of the load that was started last. `finishLoad` ignores the IDs of earlier loads. */
	getLatestLoadId(): number {
		return this.latestLoadId;
	}

	finishLoad(loadId: number): void {
		if (loadId === this.latestLoadId) {
			this.state = { ...this.state, loading: false };
		}
	}

	private isWeightLoadNeeded(order: EngineOrder): boolean {
		const { model, version, adapters } = this.state;
		const hasAdapters = order.adapters.every(adapter => adapters.includes(adapter));
		return order.model !== model || order.version !== version || !hasAdapters;
	}
}
