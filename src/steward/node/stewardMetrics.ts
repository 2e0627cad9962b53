/**
 * The steward's metrics.
 */

import { Counter, Gauge, Registry } from 'prom-client';
import { OrderEventKind } from '../common/orderEvents';
import type { Steward } from '../common/steward';
import type { WatcherCounters } from './manifestWatcher';

/** Counts order events and shows what the steward holds when it is asked. */
export class StewardMetrics {
	private readonly registry = new Registry();
	private readonly events: Counter<'kind'>;

	constructor(steward: () => Steward, watcher: () => Readonly<WatcherCounters>) {
		const registers = [this.registry];
		this.events = new Counter({
			name: 'anvilroad_steward_order_events_total',
			help: 'Events of orders to engines, by kind',
			labelNames: ['kind'],
			registers,
		});
		for (const kind of Object.values(OrderEventKind)) {
			this.events.inc({ kind }, 0);
		}
		new Gauge({
			name: 'anvilroad_steward_engines',
			help: 'Engines of this zone that the manifest wants something of, by the state of their order',
			labelNames: ['state'],
			registers,
			collect() {
				this.reset();
				for (const { chartState } of steward().listStatus()) {
					this.inc({ state: chartState });
				}
			},
		});
		new Gauge({
			name: 'anvilroad_steward_manifest_version',
			help: 'Version of the manifest that orders follow from',
			registers,
			collect() {
				this.set(steward().getVersion());
			},
		});
		new Gauge({
			name: 'anvilroad_steward_manifest_answers',
			help: 'Manifests accepted and refused and reads of the platform that failed, since the start',
			labelNames: ['result'],
			registers,
			collect() {
				const { accepted, refused, failed } = watcher();
				this.set({ result: 'accepted' }, accepted);
				this.set({ result: 'refused' }, refused);
				this.set({ result: 'failed' }, failed);
			},
		});
	}

	countEvent(kind: OrderEventKind): void {
		this.events.inc({ kind });
	}

	getContentType(): string {
		return this.registry.contentType;
	}

	render(): Promise<string> {
		return this.registry.metrics();
	}
}
