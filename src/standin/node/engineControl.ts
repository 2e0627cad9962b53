/**
 * Handles orders to a simulated engine over HTTP, subject to its fault switches, and loads the weights that an order
 * needs.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { request as sendRequest } from 'undici';
import { Disposable, toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { EngineFaults } from '../common/engineFaults';
import { OrderHandling } from '../common/engineFaults';
import type { EngineOrder, EngineOrderState, OrderCounters } from '../common/engineOrders';
import { EngineOrderProcessor, engineOrderSchema, OrderVerdict } from '../common/engineOrders';
import type { EngineSection } from '../common/standinSettings';
import { waitFor } from '../common/waitFor';
import { parseJson, readBody, sendJson } from './httpExchange';

/** Delay before a failed load is retried, in milliseconds. */
const loadRetryMs = 500;

const initialRole = 'serve';

/** Applies orders and loads weights. */
export class EngineControl extends Disposable {
	private readonly processor: EngineOrderProcessor;
	private loadController: AbortController | undefined;

	constructor(
		private readonly section: EngineSection,
		private readonly timers: ITimerService,
		private readonly getFaults: () => EngineFaults,
	) {
		super();
		this.processor = new EngineOrderProcessor(section.fencing, {
			model: section.model,
			version: section.version,
			adapters: [],
			role: initialRole,
			fence: undefined,
			loading: false,
		});
		this.register(
			toDisposable(() => {
				this.loadController?.abort();
			}),
		);
	}

	getState(): EngineOrderState {
		return this.processor.getState();
	}

	getCounters(): OrderCounters {
		return this.processor.getCounters();
	}

	/** Sends the state as JSON. Undefined members are sent as null, since JSON omits undefined. */
	sendState(response: ServerResponse): void {
		const { model = null, version = null, fence = null, ...rest } = this.processor.getState();
		sendJson(response, 200, { model, version, fence, ...rest });
	}

	async handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const parsed = engineOrderSchema.safeParse(parseJson(await readBody(request)));
		if (!parsed.success) {
			sendJson(response, 400, { error: parsed.error.issues.map(issue => issue.message).join('; ') });
			return;
		}
		const { orders, orderDelayMs } = this.getFaults();
		await waitFor(this.timers, orderDelayMs);
		if (orders === OrderHandling.Refuse) {
			sendJson(response, 503, { error: 'orders are refused by a fault switch' });
			return;
		}
		const verdict = orders === OrderHandling.Ignore ? OrderVerdict.Applied : this.applyOrder(parsed.data);
		if (verdict === OrderVerdict.Superseded) {
			sendJson(response, 409, {
				error: 'an order with a higher fencing number is in effect',
				fence: this.processor.getState().fence,
			});
			return;
		}
		sendJson(response, 200, { verdict });
	}

	private applyOrder(order: EngineOrder): OrderVerdict {
		const verdict = this.processor.apply(order);
		if (verdict === OrderVerdict.LoadStarted) {
			this.loadController?.abort();
			this.loadController = new AbortController();
			void this.loadWeights(order, this.processor.getLatestLoadId(), this.loadController.signal);
		}
		return verdict;
	}

	private async loadWeights(order: EngineOrder, loadId: number, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.fetchWeights(order, signal);
				await waitFor(this.timers, this.section.load_ms);
				this.processor.finishLoad(loadId);
				return;
			} catch {
				await waitFor(this.timers, loadRetryMs);
			}
		}
	}

	private async fetchWeights(order: EngineOrder, signal: AbortSignal): Promise<void> {
		if (this.section.weights_url === undefined) {
			return;
		}
		const path = `/v1/weights/${encodeURIComponent(order.model)}/${encodeURIComponent(order.version)}`;
		const url = `${this.section.weights_url}${path}?bytes=${this.section.load_bytes}`;
		const answer = await sendRequest(url, { signal, bodyTimeout: 0 });
		let received = 0;
		for await (const chunk of answer.body as AsyncIterable<Buffer>) {
			received += chunk.length;
		}
		if (answer.statusCode !== 200 || received !== this.section.load_bytes) {
			throw new Error(`the weight store sent ${received} bytes with status ${answer.statusCode}`);
		}
	}
}
