/**
 * Keeps the origins of streams over the tries of their callers, so that a stream goes on at the version that began it wherever its
 * caller comes back.
 *
 * The entry (proxy process) that passes on the first event of a stream keeps its origin and reports it to two holders, in batches and after
 * the event. An entry that gets a stream to resume asks all entries of its region, and then the others. Only an answer that names an
 * origin counts: that others do not know a stream says nothing of its version.
 *
 * Weighed: holders chosen by a hash of the stream. A look-up then asks two entries, but with hundreds of entries each origin needs
 * messages of its own, which costs more bytes in every second than the look-ups of the streams that break off.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import { waitAtMost } from '../../../base/common/waitFor';
import type { BootId, InstanceId, StreamId } from '../../../core/ids/common/ids';
import type { HolderCandidate } from '../../common/streams/originHolders';
import { pickHolders } from '../../common/streams/originHolders';
import type { OriginGroup } from '../../common/streams/originLog';
import { OriginLog } from '../../common/streams/originLog';
import type { KnownOrigin } from '../../common/streams/streamOrigin';
import type { StreamKey } from '../../common/streams/streamOrigins';
import { computeStreamKey, originRetentionMs, StreamOrigins } from '../../common/streams/streamOrigins';
import type { IOriginPeers, OriginPeer, ReportedOrigin } from './originPeers';

/** A stream whose first event was passed on to its caller. */
export interface BegunStream {
	readonly stream: StreamId;
	findOrigin(): KnownOrigin | undefined;
	/** Whether the caller has received the whole answer, so that it does not resume the stream. */
	isAnswered(): boolean;
}

interface PendingStream extends BegunStream {
	readonly key: StreamKey;
	readonly begunMs: number;
}

/** Interval between reports to holders. In a large fleet, the bytes of each report count more than its delay. */
const reportIntervalMs = 200;
const largeFleetIntervalMs = 500;
const largeFleetPeers = 64;
const reportTimeoutMs = 1_000;

/** Time for the answers of the own region and of the others; a caller waits for both. */
const nearAnswerMs = 200;
const farAnswerMs = 250;

/** Bounds the questions to other entries while many streams break off at once. */
const maxLookups = 64;

export class StreamOriginKeeper extends Disposable {
	private readonly origins = new StreamOrigins();
	private readonly log = new OriginLog();
	/** Streams whose origin is not certain yet. */
	private pending: PendingStream[] = [];
	/** The position in the log up to which a holder has received the origins, by its boot. */
	private readonly positions = new Map<BootId, number>();
	private readonly reporting = new Set<BootId>();
	private reportTimer: IDisposable | undefined;
	private lookups = 0;

	constructor(
		private readonly self: HolderCandidate,
		private readonly peers: IOriginPeers,
		private readonly timers: ITimerService,
	) {
		super();
		this.register(
			toDisposable(() => {
				this.reportTimer?.dispose();
			}),
		);
	}

	/** Number of origins that this entry knows. */
	get size(): number {
		return this.origins.size;
	}

	/** Records a stream whose first event was passed on, and reports its origin to the holders as soon as it is certain. */
	noteBegun(begun: BegunStream): void {
		const pending = { ...begun, key: computeStreamKey(begun.stream), begunMs: this.timers.getNow() };
		if (!this.keepIfCertain(pending)) {
			this.pending.push(pending);
		}
		this.scheduleReport();
	}

	/** Records origins that another entry reports. */
	receive(from: InstanceId, groups: readonly OriginGroup[]): void {
		const learnedMs = this.timers.getNow();
		for (const { origin, keys } of groups) {
			for (const key of keys) {
				this.origins.add(key, { ...origin, source: from, learnedMs });
			}
		}
	}

	/** Answers another entry's question. */
	answer(key: StreamKey): ReportedOrigin | undefined {
		const nowMs = this.timers.getNow();
		this.keepPending();
		const origin = this.origins.find(key, nowMs);
		return origin && { origin, ageMs: nowMs - origin.learnedMs };
	}

	/** Finds the origin of a stream here or at other entries; undefined if none of them knows it in time. */
	async find(stream: StreamId): Promise<KnownOrigin | undefined> {
		const key = computeStreamKey(stream);
		this.keepPending();
		const known = this.origins.find(key, this.timers.getNow());
		if (known !== undefined || this.lookups >= maxLookups) {
			return known;
		}
		this.lookups++;
		try {
			await this.askOthers(key);
		} finally {
			this.lookups--;
		}
		return this.origins.find(key, this.timers.getNow());
	}

	private async askOthers(key: StreamKey): Promise<void> {
		const peers = this.peers.list();
		const near = peers.filter(({ region }) => region === this.self.region);
		const found = await this.askAll(near, key, nearAnswerMs);
		if (!found) {
			await this.askAll(
				peers.filter(({ region }) => region !== this.self.region),
				key,
				farAnswerMs,
			);
		}
	}

	/** Asks all peers, and returns whether one of them knew the origin. Ends with the first that does. */
	private async askAll(peers: readonly OriginPeer[], key: StreamKey, timeoutMs: number): Promise<boolean> {
		let isFound = false;
		await new Promise<void>(resolve => {
			const asked = peers.map(async ({ instance }) => {
				const reported = await this.peers.askOrigin(instance, key, timeoutMs).catch(() => undefined);
				if (reported !== undefined && !isFound) {
					isFound = true;
					const learnedMs = this.timers.getNow() - reported.ageMs;
					this.origins.add(key, { ...reported.origin, source: instance, learnedMs });
					resolve();
				}
			});
			void waitAtMost(
				this.timers,
				timeoutMs,
				Promise.all(asked).then(() => undefined),
			).then(resolve);
		});
		return isFound;
	}

	private scheduleReport(): void {
		if (this.reportTimer !== undefined) {
			return;
		}
		const isLarge = this.peers.list().length > largeFleetPeers;
		this.reportTimer = this.timers.schedule(isLarge ? largeFleetIntervalMs : reportIntervalMs, () => {
			this.reportTimer = undefined;
			this.sendReports();
		});
	}

	private sendReports(): void {
		const nowMs = this.timers.getNow();
		this.log.expire(nowMs);
		this.keepPending();
		const holders = pickHolders(this.self, this.peers.list());
		const boots = new Set(holders.map(({ boot }) => boot));
		for (const boot of [...this.positions.keys()].filter(known => !boots.has(known))) {
			this.positions.delete(boot);
		}
		for (const holder of holders.filter(({ boot }) => !this.reporting.has(boot))) {
			void this.sendReport(holder);
		}
		if (this.pending.length > 0) {
			this.scheduleReport();
		}
	}

	private async sendReport({ instance, boot }: OriginPeer): Promise<void> {
		const batch = this.log.createBatch(this.positions.get(boot) ?? 0);
		if (batch === undefined) {
			return;
		}
		this.reporting.add(boot);
		try {
			await this.peers.sendOrigins(instance, batch.groups, reportTimeoutMs);
			this.positions.set(boot, batch.endPosition);
		} catch {
			// The fleet's exchanges detect unreachable entries, and the next report goes to the holder that takes its place.
		} finally {
			this.reporting.delete(boot);
		}
		if ((this.positions.get(boot) ?? 0) < this.log.endPosition) {
			this.scheduleReport();
		}
	}

	private keepPending(): void {
		const nowMs = this.timers.getNow();
		this.pending = this.pending.filter(
			pending => nowMs - pending.begunMs <= originRetentionMs && !this.keepIfCertain(pending),
		);
	}

	private keepIfCertain(pending: PendingStream): boolean {
		const { key } = pending;
		const origin = pending.findOrigin();
		if (origin === undefined) {
			return false;
		}
		this.origins.add(key, origin);
		if (!pending.isAnswered()) {
			this.log.add(key, origin, this.timers.getNow());
		}
		return true;
	}
}
