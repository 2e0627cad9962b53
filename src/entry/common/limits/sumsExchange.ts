/**
 * Sends the sums of a zone from its coordinator to those of the other zones, while entries report to it. They go to the
 * coordinators whose sums arrive and to the first entry in the order of each zone, so that an entry which takes over knows
 * the other zones; if none arrive, also to the first entry that answered.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { InstanceId } from '../../../core/ids/common/ids';
import { pickCoordinator } from './coordinatorRanking';
import type { CoordinatorIdentity, LimitCoordinator } from './limitCoordinator';
import { fullSumsIntervalMs, idleSumsIntervalMs, sumsIntervalMs } from './limitCoordinator';
import type { ZoneSums } from './limitMessages';
import type { ILimitPeers, IZoneDirectory, ZoneEntries } from './zoneDirectory';

/** What the exchange works on. */
export interface ExchangeParts {
	readonly self: CoordinatorIdentity;
	readonly coordinator: LimitCoordinator;
	readonly directory: IZoneDirectory;
	readonly peers: ILimitPeers;
	readonly timers: ITimerService;
}

/** Above the round trip of the slowest link with a busy process at its end. */
const answerTimeoutMs = 1_000;
const excludedMs = 5_000;

export class SumsExchange extends Disposable {
	private readonly excludedUntil = new Map<InstanceId, number>();
	private readonly waitingFor = new Set<InstanceId>();
	private timer: IDisposable | undefined;
	private fullMs = Number.NEGATIVE_INFINITY;
	private sentMs = Number.NEGATIVE_INFINITY;
	private isDisposed = false;

	constructor(private readonly parts: ExchangeParts) {
		super();
		this.register(
			toDisposable(() => {
				this.isDisposed = true;
				this.timer?.dispose();
			}),
		);
	}

	/** Starts to send sums unless they are sent already. */
	noteReport(): void {
		if (this.timer === undefined && !this.isDisposed) {
			this.schedule();
		}
	}

	private schedule(): void {
		this.timer = this.parts.timers.schedule(sumsIntervalMs, () => {
			this.timer = undefined;
			this.sendIfDue();
		});
	}

	private sendIfDue(): void {
		const { coordinator, timers, directory, self } = this.parts;
		const nowMs = timers.getNow();
		if (!coordinator.isActive(nowMs)) {
			return;
		}
		const isFull = nowMs - this.fullMs >= fullSumsIntervalMs;
		const sums = coordinator.createSums(nowMs, isFull);
		if (isFull) {
			this.fullMs = nowMs;
		}
		if (sums.counts.length > 0 || nowMs - this.sentMs >= idleSumsIntervalMs) {
			this.sentMs = nowMs;
			for (const zone of directory.listZones()) {
				if (zone.zone !== self.zone) {
					this.sendToZone(zone, sums, nowMs);
				}
			}
		}
		this.schedule();
	}

	private sendToZone({ zone, live }: ZoneEntries, sums: ZoneSums, nowMs: number): void {
		const received = this.parts.coordinator.listSenders(zone, nowMs);
		const first = pickCoordinator(live);
		const next = pickCoordinator(live.filter(instance => (this.excludedUntil.get(instance) ?? 0) <= nowMs));
		for (const instance of new Set([...received, first, ...(received.length > 0 ? [] : [next])])) {
			if (instance !== undefined) {
				this.sendTo(instance, sums);
			}
		}
	}

	private sendTo(instance: InstanceId, sums: ZoneSums): void {
		if (this.waitingFor.has(instance)) {
			return;
		}
		const { timers, peers } = this.parts;
		this.waitingFor.add(instance);
		let isOver = false;
		const finish = (answer?: true): void => {
			if (isOver) {
				return;
			}
			isOver = true;
			limit.dispose();
			this.waitingFor.delete(instance);
			if (answer === undefined) {
				this.excludedUntil.set(instance, timers.getNow() + excludedMs);
			} else {
				this.excludedUntil.delete(instance);
			}
		};
		const limit = timers.schedule(answerTimeoutMs, () => {
			finish();
		});
		peers.sendSums(instance, sums, finish);
	}
}
