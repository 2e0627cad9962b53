/**
 * Simulates the entries of a region on a virtual clock while targets that were down register again and are cold. Each
 * entry has its own fleet view, registrations, target list and scheduler, and always has requests waiting. Entries can be
 * killed and started again, stalled, and cut off from each other; the arrivals at each target are recorded.
 */

import { subscribeTo } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import { DisposableStore } from '../../../base/common/lifecycle';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import { RingAuditTrail } from '../../../core/audit/common/ringAuditTrail';
import type { DiscoveredTarget } from '../../../core/discovery/common/discoveredTarget';
import { Discovery } from '../../../core/discovery/common/discovery';
import type {
	BootId,
	InstanceId,
	RequestId,
	ServiceName,
	SoftwareVersion,
	TargetId,
	TargetUrl,
} from '../../../core/ids/common/ids';
import type { ManifestService } from '../../../core/manifest/common/manifest';
import type { EntryView as WireView } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { AttemptEnd, ScheduleDecisionKind } from '../../common/scheduling/serviceScheduler';
import {
	createPromptedRequest,
	createUnsharedPrompt,
} from '../../common/workScheduling/test/engineSimulation';
import { WorkScheduler } from '../../common/workScheduling/workScheduler';
import { EntryFleet } from '../fleet/entryFleet';
import { createView, region } from '../fleet/test/views';
import type { PeerClients } from '../peers/peerClients';
import { DiscoveredTargetRegistry } from '../targets/discoveredTargetRegistry';
import { StallableTimers } from './stallableTimers';

/** The size of a region and the rate that its cold targets bear. */
export interface ColdFleetOptions {
	readonly entries: number;
	readonly targets: number;
	readonly requestsPerSecond: number;
	readonly coldMs: number;
	readonly seed: number;
}

/** An arrival of a request at a target. */
export interface Arrival {
	readonly target: TargetId;
	readonly entry: InstanceId;
	readonly atMs: number;
}

const service = 'report-writer' as ServiceName;
const slots = 12;
const waitingPerEntry = 4;
const runMs = 150;
const maxSeeds = 3;
const stepMs = 10;
const advanceIntervalMs = 25;
const secondMs = 1_000;
const exchangeTimeoutMs = 2_000;
const watchDelayMs = { min: 5, spread: 100 };
const networkMs = { min: 1, spread: 4 };
const deadlineMs = 60_000;

/** The entries of one region, its targets and what reached them. */
export class ColdTargetFleet implements IDisposable {
	readonly timers = new ManualTimerService();
	readonly random: SeededRandom;
	readonly arrivals: Arrival[] = [];
	private readonly entries = new Map<InstanceId, FleetEntry>();
	private readonly cutPairs = new Set<string>();
	private readonly startedMs = new Map<TargetId, number>();
	private starts = 0;

	constructor(readonly options: ColdFleetOptions) {
		this.random = new SeededRandom(options.seed);
		for (let index = 0; index < options.entries; index++) {
			this.startEntry(`entry-${index}` as InstanceId);
		}
	}

	get entryIds(): readonly InstanceId[] {
		return Array.from({ length: this.options.entries }, (_, index) => `entry-${index}` as InstanceId);
	}

	/** Lets time pass, together with the promises of the exchanges between entries. */
	async advance(durationMs: number): Promise<void> {
		const untilMs = this.timers.getNow() + durationMs;
		while (this.timers.getNow() < untilMs) {
			this.timers.advance(stepMs);
			await new Promise(resolve => setImmediate(resolve));
		}
	}

	startEntry(id: InstanceId): void {
		this.entries.get(id)?.dispose();
		this.starts++;
		const entry = new FleetEntry(id, `boot-${this.starts}` as BootId, this);
		this.entries.set(id, entry);
		entry.start(this.listRegistered());
	}

	killEntry(id: InstanceId): void {
		this.entries.get(id)?.dispose();
		this.entries.delete(id);
	}

	/** Keeps the event loop of an entry busy: its timers and what it receives wait until the end. */
	pauseEntry(id: InstanceId, durationMs: number): void {
		this.entries.get(id)?.timers.pause(durationMs);
	}

	/** Cuts the connections between two entries, in both directions. */
	cutPair(left: InstanceId, right: InstanceId): void {
		this.cutPairs.add([left, right].sort().join(' '));
	}

	/** Starts a target, which registers and is cold. Entries read the registration after different delays. */
	startTarget(id: TargetId): void {
		const target = createTarget(id, this.options.coldMs);
		this.startedMs.set(id, this.timers.getNow());
		for (const entry of this.entries.values()) {
			entry.timers.schedule(this.pickMs(watchDelayMs), () => {
				entry.register(target);
			});
		}
	}

	/** Returns the most arrivals within one second at one target while it was cold. */
	countBusiestColdSecond(): number {
		const counts = [...this.startedMs.keys()].map(target => {
			const times = this.listColdArrivals(target);
			return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + secondMs).length));
		});
		return Math.max(0, ...counts);
	}

	/** Returns the number of arrivals at all targets while they were cold. */
	countColdArrivals(): number {
		return [...this.startedMs.keys()].reduce((sum, target) => sum + this.listColdArrivals(target).length, 0);
	}

	/** Returns the number of targets that got a request since they started. */
	countServingTargets(): number {
		return new Set(this.arrivals.map(({ target }) => target)).size;
	}

	dispose(): void {
		for (const entry of this.entries.values()) {
			entry.dispose();
		}
	}

	private listColdArrivals(target: TargetId): readonly number[] {
		const coldUntilMs = (this.startedMs.get(target) ?? 0) + this.options.coldMs;
		return this.arrivals
			.filter(arrival => arrival.target === target && arrival.atMs < coldUntilMs)
			.map(({ atMs }) => atMs);
	}

	/** Delivers the views of an exchange to the entry at an address. Rejects if it can't be reached. */
	async exchange(from: InstanceId, peerUrl: string, views: readonly WireView[]): Promise<WireView[]> {
		const to = new URL(peerUrl).hostname as InstanceId;
		await this.wait(this.pickMs(networkMs));
		const peer = this.entries.get(to);
		if (peer === undefined) {
			throw new Error('connection refused');
		}
		if (this.cutPairs.has([from, to].sort().join(' '))) {
			await this.wait(exchangeTimeoutMs);
			throw new Error('deadline exceeded');
		}
		await new Promise<void>(resolve => peer.timers.schedule(0, resolve));
		const answer = peer.fleet.receiveViews(views);
		await this.wait(this.pickMs(networkMs));
		return answer;
	}

	recordArrival(target: TargetId, entry: InstanceId): void {
		this.timers.schedule(this.pickMs(networkMs), () => {
			this.arrivals.push({ target, entry, atMs: this.timers.getNow() });
		});
	}

	/** Lists the registrations as an entry reads them that starts now. */
	private listRegistered(): readonly DiscoveredTarget[] {
		const nowMs = this.timers.getNow();
		return [...this.startedMs].map(([id, startedMs]) =>
			createTarget(id, Math.max(0, startedMs + this.options.coldMs - nowMs)),
		);
	}

	private pickMs({ min, spread }: { readonly min: number; readonly spread: number }): number {
		return min + this.random.pickFraction() * spread;
	}

	private async wait(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => this.timers.schedule(delayMs, resolve));
	}
}

/** One entry, made of its real parts around a scripted network. */
class FleetEntry implements IDisposable {
	readonly timers: StallableTimers;
	readonly fleet: EntryFleet;
	private readonly store = new DisposableStore();
	private readonly discovery: Discovery;
	private readonly registry: DiscoveredTargetRegistry;
	private readonly scheduler: WorkScheduler;
	private sequence = 0;
	private submitted = 0;
	private isDisposed = false;

	constructor(
		private readonly id: InstanceId,
		boot: BootId,
		private readonly simulation: ColdTargetFleet,
	) {
		const { timers, options, random } = simulation;
		this.timers = new StallableTimers(timers);
		const trail = new RingAuditTrail(100, () => new Date(0));
		const ownRandom = new SeededRandom(random.pickBelow(1_000_000));
		const peers = {
			open: (peerUrl: string) => ({
				client: {
					exchangeViews: async ({ views }: { views: WireView[] }) => ({
						views: await simulation.exchange(id, peerUrl, views),
					}),
				},
			}),
			closeAbsent: () => undefined,
		};
		const place = {
			id,
			region,
			zone: createView(id).zone,
			peerUrl: createView(id).peerUrl,
			seeds: simulation.entryIds
				.slice(0, Math.min(maxSeeds, options.entries))
				.map(seed => createView(seed).peerUrl),
		};
		this.fleet = this.store.add(
			new EntryFleet(
				place,
				() => createView(id, { bootId: boot, sequence: ++this.sequence }),
				peers as unknown as PeerClients,
				this.timers,
				ownRandom,
				trail,
			),
		);
		this.discovery = this.store.add(new Discovery(trail));
		this.registry = this.store.add(new DiscoveredTargetRegistry(place, this.discovery, this.timers));
		this.scheduler = new WorkScheduler(ownRandom, () => this.fleet.getFleetPosition());
	}

	start(targets: readonly DiscoveredTarget[]): void {
		void this.fleet.exchangeWithSome();
		this.store.add(
			subscribeTo(this.discovery.onDidChange, () => {
				this.updateTargets();
			}),
		);
		this.store.add(
			subscribeTo(this.fleet.getLifecycles().onDidChange, () => {
				this.updateTargets();
			}),
		);
		this.discovery.applyRegistrations(
			{ registered: targets, removed: [], isAfterOutage: false },
			this.timers.getNow(),
		);
		this.store.add(
			subscribeTo(this.timers.watchTicks(advanceIntervalMs), () => {
				this.advance();
			}),
		);
	}

	dispose(): void {
		this.isDisposed = true;
		this.store.dispose();
	}

	register(target: DiscoveredTarget): void {
		if (!this.isDisposed) {
			this.discovery.applyRegistrations(
				{ registered: [target], removed: [], isAfterOutage: false },
				this.timers.getNow(),
			);
			this.advance();
		}
	}

	private updateTargets(): void {
		const described = { name: service, ...this.createWarmUp() } as ManifestService;
		this.scheduler.setTargets(this.registry.listSchedulable(described, this.fleet.getEntrySharing()));
	}

	private createWarmUp(): Pick<ManifestService, 'warmUp' | 'promptCache'> {
		const { requestsPerSecond, coldMs } = this.simulation.options;
		return {
			warmUp: { requestsPerSecond, durationMs: coldMs },
			promptCache: { tokens: 300_000 },
		};
	}

	private advance(): void {
		const nowMs = this.timers.getNow();
		if (this.discovery.list().length === 0) {
			return;
		}
		const missing = waitingPerEntry - this.scheduler.measureRoom(nowMs).queued;
		for (let index = 0; index < missing; index++) {
			this.submit(nowMs);
		}
		for (const decision of this.scheduler.advance(nowMs)) {
			if (decision.kind === ScheduleDecisionKind.Start) {
				this.send(decision.requestId, decision.target);
			}
		}
	}

	private submit(nowMs: number): void {
		const id = `${this.id}-${++this.submitted}` as RequestId;
		const limits = { dueAfterMs: deadlineMs / 2, deadlineMs, urgency: 0 };
		this.scheduler.submit(createPromptedRequest(id, createUnsharedPrompt(id, 300), limits, nowMs), nowMs);
	}

	private send(request: RequestId, target: TargetId): void {
		this.simulation.recordArrival(target, this.id);
		this.scheduler.noteHandedOver(request, this.timers.getNow());
		this.timers.schedule(runMs, () => {
			const nowMs = this.timers.getNow();
			this.scheduler.noteFirstByte(request, nowMs);
			this.scheduler.noteEnd(request, AttemptEnd.Answered, nowMs);
		});
	}
}

function createTarget(id: TargetId, coldLeftMs: number): DiscoveredTarget {
	const { region: name, zone } = createView('any');
	return {
		id,
		service,
		region: name,
		zone,
		url: 'http://127.0.0.1:9001' as TargetUrl,
		slots,
		isLeaving: false,
		remainingMs: undefined,
		coldLeftMs,
		boot: `boot-of-${id}` as BootId,
		version: 'v1' as SoftwareVersion,
	};
}
