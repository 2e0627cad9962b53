/**
 * The engine's orders over HTTP: refused, ignored, delayed or obeyed, with the load of weights that an
 * order may need.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { request as sendRequest } from 'undici';
import { Disposable, toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { EngineFaults } from '../common/engineFaults';
import { OrderManner } from '../common/engineFaults';
import type { EngineOrder, EngineOrderState, OrderCounters } from '../common/engineOrders';
import { EngineOrderDesk, engineOrderSchema, OrderVerdict } from '../common/engineOrders';
import type { EngineSection } from '../common/standinSettings';
import { waitFor } from '../common/waitFor';
import { parseJson, readBody, sendJson } from './httpExchange';

/** A load that failed is tried again after this time, in milliseconds. */
const loadRetryMs = 500;

const initialRole = 'serve';

/** Takes orders and loads weights. */
export class EngineControl extends Disposable {
	private readonly desk: EngineOrderDesk;
	private loading: AbortController | undefined;

	constructor(
		private readonly section: EngineSection,
		private readonly timers: ITimerService,
		private readonly getFaults: () => EngineFaults,
	) {
		super();
		this.desk = new EngineOrderDesk(section.fencing, {
			model: section.model,
			version: section.version,
			adapters: [],
			role: initialRole,
			fence: undefined,
			loading: false,
		});
		this.register(
			toDisposable(() => {
				this.loading?.abort();
			}),
		);
	}

	getState(): EngineOrderState {
		return this.desk.getState();
	}

	getCounters(): OrderCounters {
		return this.desk.getCounters();
	}

	/** Missing parts of the state are sent as null, since JSON leaves undefined out. */
	sendState(response: ServerResponse): void {
		const { model = null, version = null, fence = null, ...rest } = this.desk.getState();
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
		if (orders === OrderManner.Refuse) {
			sendJson(response, 503, { error: 'orders are refused' });
			return;
		}
		const verdict = orders === OrderManner.Ignore ? OrderVerdict.Applied : this.applyOrder(parsed.data);
		if (verdict === OrderVerdict.Superseded) {
			sendJson(response, 409, { error: 'older than the order in force', fence: this.desk.getState().fence });
			return;
		}
		sendJson(response, 200, { verdict });
	}

	private applyOrder(order: EngineOrder): OrderVerdict {
		const verdict = this.desk.apply(order);
		if (verdict === OrderVerdict.LoadStarted) {
			this.loading?.abort();
			this.loading = new AbortController();
			void this.runLoad(order, this.desk.getLoadNumber(), this.loading.signal);
		}
		return verdict;
	}

	private async runLoad(order: EngineOrder, loadNumber: number, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.fetchWeights(order, signal);
				await waitFor(this.timers, this.section.load_ms);
				this.desk.finishLoad(loadNumber);
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
		for await (const piece of answer.body as AsyncIterable<Buffer>) {
			received += piece.length;
		}
		if (answer.statusCode !== 200 || received !== this.section.load_bytes) {
			throw new Error(`the weight store sent ${received} bytes with status ${answer.statusCode}`);
		}
	}
}
