/**
 * The views of other entries that this entry holds. Views arrive late, twice, out of order and through other
 * entries. They are merged by boot and sequence. Every age is measured on this process's monotonic clock from
 * the moment of arrival, so that clocks of different machines are never compared.
 *
 * Entries start, stop and restart while views lag. An old view would direct callers and requests to capacity
 * that existed a minute ago. Therefore a reported capacity fades to the mean of all entries, an instance without
 * recent views becomes suspected, and it is removed after a longer silence. The suspicion timeout covers several
 * expected renewals, because with a fixed byte budget each view is renewed less often in a larger fleet.
 */

import type { BootId, InstanceId, RegionName, ServiceName } from '../../../core/ids/common/ids';
import type { FleetViewParameters } from '../scheduling/policy';
import { defaultFleetViewParameters } from '../scheduling/policy';
import type { ServiceRoom } from '../scheduling/serviceScheduler';
import type { EntryView } from './entryView';
import { estimateViewBytes, findRoom, removeUnrelayed } from './entryView';
import type { TrackedInstance } from './trustedInstances';
import { TrustedInstances } from './trustedInstances';

/** The latest view of an instance, with its age and reachability. */
export interface KnownInstance {
	readonly view: EntryView;
	/** Milliseconds since the instance published the view. */
	readonly ageMs: number;
	/** Whether the instance has been silent for too long or could not be reached several times in a row. */
	readonly isSuspect: boolean;
}

/** The region of an instance. */
export interface InstancePlace {
	readonly id: InstanceId;
	readonly region: RegionName;
}

interface InstanceRecord {
	view: EntryView;
	/** When the instance published the view, on this process's clock. */
	reportedMs: number;
	consecutiveFailures: number;
	/** Boots before the current one. A late view of one of them is dropped. */
	readonly previousBoots: Set<BootId>;
}

/** Number of earlier boots remembered per instance. More restarts within the lifetime of a view are not expected. */
const maxPreviousBoots = 8;

/**
 * Minimum time that a view is kept, equal to the lifetime of a ticket. The issuer of a ticket is found through its
 * view, so a shorter time would refuse tickets whose issuer is unreachable only for a moment.
 */
const minRetentionMs = 120_000;

/**
 * Number of other instances up to which a node spends more bytes on views than the budget of a large fleet.
 * Sending requests to other regions requires offers that are at most seconds old. With the budget of a large
 * fleet, the offers held by a fleet of seven were too old most of the time, and a drained region refused requests
 * that another region had capacity for.
 */
const maxSmallFleetPeers = 64;
const smallFleetBytesPerSecond = 16_000;
const smallFleetExchanges = 2;

/** Holds the views of other entries at one entry. */
export class FleetView {
	private readonly records = new Map<InstanceId, InstanceRecord>();
	private readonly trusted: TrustedInstances<InstanceRecord>;
	private meanBytes = 300;
	private membershipChanges = 0;
	private places: readonly InstancePlace[] = [];
	/** Value of `membershipChanges` that `places` belongs to. */
	private placesVersion = 0;

	constructor(
		private readonly self: InstanceId,
		private readonly options: FleetViewParameters = defaultFleetViewParameters,
	) {
		this.trusted = new TrustedInstances(this.records, options.suspectAfterFailures);
	}

	/** Changes whenever an instance is added or removed. */
	get membershipVersion(): number {
		return this.membershipChanges;
	}

	/** Number of records visited so far to list instances. */
	get visitCount(): number {
		return this.trusted.visitCount;
	}

	/** Merges received views and returns those that were newer than the views held. */
	merge(views: readonly EntryView[], nowMs: number): readonly EntryView[] {
		return views.filter(view => view.instance !== this.self && this.mergeView(view, nowMs));
	}

	/** Records whether an exchange with the instance reached it. */
	recordExchange(instance: InstanceId, isReached: boolean): void {
		const record = this.records.get(instance);
		if (record !== undefined) {
			const failures = isReached ? 0 : record.consecutiveFailures + 1;
			if (this.isUnreachable(failures) !== this.isUnreachable(record.consecutiveFailures)) {
				this.trusted.clear();
			}
			record.consecutiveFailures = failures;
		}
	}

	/** Excludes the time in which this process was suspended from the silence of all other instances. */
	noteOwnSleep(sleptMs: number): void {
		for (const record of this.records.values()) {
			record.reportedMs += sleptMs;
		}
		if (sleptMs > 0) {
			this.trusted.clear();
		}
	}

	has(instance: InstanceId): boolean {
		return this.records.has(instance);
	}

	/** Removes instances that were silent for far longer than the suspicion timeout and returns their ids. */
	expire(nowMs: number): readonly InstanceId[] {
		const timeoutMs = this.computeExpiryTimeout();
		const expired = [...this.records].filter(([, record]) => nowMs - record.reportedMs > timeoutMs);
		for (const [instance] of expired) {
			this.records.delete(instance);
			this.membershipChanges++;
			this.trusted.clear();
		}
		return expired.map(([instance]) => instance);
	}

	find(instance: InstanceId, nowMs: number): KnownInstance | undefined {
		const record = this.records.get(instance);
		return record === undefined ? undefined : this.createKnownInstance(record, nowMs);
	}

	/** Lists the ids and regions of all instances whose views are kept, also of those that are suspected. */
	listPlaces(): readonly InstancePlace[] {
		if (this.placesVersion !== this.membershipChanges) {
			this.placesVersion = this.membershipChanges;
			this.places = [...this.records.values()].map(({ view }) => ({
				id: view.instance,
				region: view.region,
			}));
		}
		return this.places;
	}

	/** Returns all known instances except this one. */
	list(nowMs: number): readonly KnownInstance[] {
		return [...this.records.values()].map(record => this.createKnownInstance(record, nowMs));
	}

	/**
	 * Returns the instances that are not suspected, without a copy: the records change when newer views arrive. Until an
	 * instance comes, goes, moves or changes its trust, the same array is returned.
	 */
	listTrusted(nowMs: number): readonly TrackedInstance[] {
		return this.trusted.list(this.computeSuspectTimeout(), nowMs);
	}

	/**
	 * Estimates the capacity of an instance for a service. The reported value fades to the mean of all instances as
	 * the view ages. Returns undefined if no instance has reported any capacity.
	 */
	estimateRoom(instance: InstanceId, service: ServiceName, nowMs: number): ServiceRoom | undefined {
		const meanRoom = this.computeMeanRoom(service);
		const record = this.records.get(instance);
		const reported = record === undefined ? undefined : findRoom(record.view, service);
		if (record === undefined || reported === undefined || meanRoom === undefined) {
			return meanRoom;
		}
		const reportWeight = Math.exp((record.reportedMs - nowMs) / this.options.roomDecayMs);
		return computeBlendedRoom(meanRoom, reported, reportWeight);
	}

	/** Time without a new view after which an instance is suspected, in milliseconds. */
	computeSuspectTimeout(): number {
		const { suspectAfterMs, suspectAfterRenewals } = this.options;
		// Half of the byte budget is spent on received views.
		const renewalMs = (this.records.size * this.meanBytes * 1_000) / (this.bytesPerSecond / 2);
		return Math.max(suspectAfterMs, renewalMs * suspectAfterRenewals);
	}

	/** Time without a new view after which an instance is removed, in milliseconds. */
	computeExpiryTimeout(): number {
		return Math.max(minRetentionMs, this.computeSuspectTimeout() * this.options.forgetFactor);
	}

	/**
	 * Bytes per second that this node may spend on views, sent and received, in exchanges started by this node and by
	 * its peers.
	 */
	get bytesPerSecond(): number {
		return this.isSmallFleet() ? smallFleetBytesPerSecond : this.options.bytesPerSecond;
	}

	/** Number of exchanges that this node starts per period. */
	get exchangesPerPeriod(): number {
		return this.isSmallFleet() ? smallFleetExchanges : 1;
	}

	/** Moving average of the estimated bytes of merged views without crash sightings, as they are passed on. */
	get meanViewBytes(): number {
		return this.meanBytes;
	}

	private isSmallFleet(): boolean {
		return this.records.size <= maxSmallFleetPeers;
	}

	private mergeView(view: EntryView, nowMs: number): boolean {
		const reportedMs = nowMs - view.ageMs;
		const record = this.records.get(view.instance);
		if (record === undefined) {
			if (view.ageMs > this.computeSuspectTimeout()) {
				return false;
			}
			this.records.set(view.instance, {
				view,
				reportedMs,
				consecutiveFailures: 0,
				previousBoots: new Set(),
			});
			this.membershipChanges++;
			this.trusted.clear();
			this.updateMeanViewBytes(view);
			return true;
		}
		if (!isNewer(view, reportedMs, record)) {
			return false;
		}
		if (view.bootId !== record.view.bootId) {
			recordPreviousBoot(record);
		}
		const isOlderReport = reportedMs < record.reportedMs;
		if (isOlderReport || this.isSuspect(record, nowMs) || !isAtSamePlace(view, record.view)) {
			this.trusted.clear();
		}
		record.view = view;
		record.reportedMs = reportedMs;
		record.consecutiveFailures = 0;
		this.updateMeanViewBytes(view);
		return true;
	}

	private updateMeanViewBytes(view: EntryView): void {
		this.meanBytes += (estimateViewBytes(removeUnrelayed(view)) - this.meanBytes) / 16;
	}

	private createKnownInstance(record: InstanceRecord, nowMs: number): KnownInstance {
		const ageMs = nowMs - record.reportedMs;
		return { view: record.view, ageMs, isSuspect: this.isSuspect(record, nowMs) };
	}

	private isSuspect({ reportedMs, consecutiveFailures }: InstanceRecord, nowMs: number): boolean {
		return nowMs - reportedMs > this.computeSuspectTimeout() || this.isUnreachable(consecutiveFailures);
	}

	private isUnreachable(consecutiveFailures: number): boolean {
		return consecutiveFailures >= this.options.suspectAfterFailures;
	}

	private computeMeanRoom(service: ServiceName): ServiceRoom | undefined {
		const reported = [...this.records.values()]
			.map(record => findRoom(record.view, service))
			.filter(room => room !== undefined);
		if (reported.length === 0) {
			return undefined;
		}
		const mean = (measure: (room: ServiceRoom) => number): number =>
			reported.reduce((sum, room) => sum + measure(room), 0) / reported.length;
		return {
			waitMs: mean(room => room.waitMs),
			freeSlots: mean(room => room.freeSlots),
			running: mean(room => room.running),
			queued: mean(room => room.queued),
		};
	}
}

/**
 * Whether a view is newer than the recorded one. Within a boot the higher sequence is newer. Boots have no order,
 * so the view published later wins, and a boot that was followed by another one is never accepted again.
 */
function isNewer(view: EntryView, reportedMs: number, record: InstanceRecord): boolean {
	if (view.bootId === record.view.bootId) {
		return view.sequence > record.view.sequence;
	}
	return !record.previousBoots.has(view.bootId) && reportedMs > record.reportedMs;
}

function isAtSamePlace(left: EntryView, right: EntryView): boolean {
	return left.bootId === right.bootId && left.region === right.region && left.zone === right.zone;
}

function recordPreviousBoot(record: InstanceRecord): void {
	record.previousBoots.add(record.view.bootId);
	const [oldest] = record.previousBoots;
	if (record.previousBoots.size > maxPreviousBoots && oldest !== undefined) {
		record.previousBoots.delete(oldest);
	}
}

function computeBlendedRoom(meanRoom: ServiceRoom, reported: ServiceRoom, reportWeight: number): ServiceRoom {
	const mix = (measure: (room: ServiceRoom) => number): number =>
		measure(meanRoom) + (measure(reported) - measure(meanRoom)) * reportWeight;
	return {
		waitMs: mix(room => room.waitMs),
		freeSlots: mix(room => room.freeSlots),
		running: mix(room => room.running),
		queued: mix(room => room.queued),
	};
}
