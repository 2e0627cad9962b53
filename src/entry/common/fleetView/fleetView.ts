/**
 * What this entry holds of the other entries. Views arrive late, twice, out of order and by way of others;
 * they are merged by boot and sequence, and every age is counted on this process's monotonic clock from
 * the moment of arrival, so that no clock of another machine is ever compared.
 *
 * Load patterns: entries that come, go and restart while reports lag. Believing an old view sends callers
 * and requests to where room was a minute ago; so room fades to the mean of all, silence makes an instance
 * suspected, and longer silence lets it be forgotten. Suspicion waits for several expected renewals: with
 * a fixed bytes budget a view is renewed more rarely the larger the fleet is.
 */

import type { BootId, InstanceId, ServiceName } from '../../../core/ids/common/ids';
import type { FleetViewParameters } from '../scheduling/policy';
import { defaultFleetViewParameters } from '../scheduling/policy';
import type { ServiceRoom } from '../scheduling/serviceScheduler';
import type { EntryView } from './entryView';
import { estimateViewBytes, findRoom } from './entryView';

/** An instance as it is known here. */
export interface KnownInstance {
	readonly view: EntryView;
	/** Milliseconds since it spoke. */
	readonly ageMs: number;
	readonly isSuspect: boolean;
}

interface InstanceRecord {
	view: EntryView;
	/** When it spoke, on this process's clock. */
	spokenMs: number;
	failuresInRow: number;
	/** Boots before the present one; a late view of one of them is dropped. */
	readonly pastBoots: Set<BootId>;
}

/** Boots of an instance that are remembered; more restarts than that within a view's life are not expected. */
const mostPastBoots = 8;

/**
 * The least time that a view is held, in milliseconds: as long as a ticket lives. Its issuer is found by its
 * view, and a shorter time would refuse tickets whose issuer is merely cut off for a moment.
 */
const leastHeldMs = 120_000;

/**
 * Up to this many others, a node spends more on views than the budget of a large fleet. Sending away goes by
 * offers of other regions that are at most seconds old; with the small budget a fleet of seven held offers
 * too old to use for most of the time, and a drained region refused what another had room for.
 */
const smallFleetInstances = 64;
const smallFleetBytesPerSecond = 16_000;
const smallFleetExchanges = 2;

/** The views held by one entry. */
export class FleetView {
	private readonly records = new Map<InstanceId, InstanceRecord>();
	private meanViewBytes = 300;

	constructor(
		private readonly self: InstanceId,
		private readonly figures: FleetViewParameters = defaultFleetViewParameters,
	) {}

	/** Takes views in; gives those that were news, with the age they have here. */
	merge(views: readonly EntryView[], nowMs: number): readonly EntryView[] {
		return views.filter(view => view.instance !== this.self && this.mergeOne(view, nowMs));
	}

	/** An exchange with the instance failed (`true`: worked). */
	noteExchange(instance: InstanceId, isReached: boolean): void {
		const record = this.records.get(instance);
		if (record !== undefined) {
			record.failuresInRow = isReached ? 0 : record.failuresInRow + 1;
		}
	}

	/** This process slept: what it could not hear meanwhile is no silence of the others. */
	noteOwnSleep(sleptMs: number): void {
		for (const record of this.records.values()) {
			record.spokenMs += sleptMs;
		}
	}

	has(instance: InstanceId): boolean {
		return this.records.has(instance);
	}

	/** Forgets instances that were silent for far longer than the suspicion time; gives their ids. */
	expire(nowMs: number): readonly InstanceId[] {
		const longestMs = this.computeForgetAfter();
		const gone = [...this.records].filter(([, record]) => nowMs - record.spokenMs > longestMs);
		for (const [instance] of gone) {
			this.records.delete(instance);
		}
		return gone.map(([instance]) => instance);
	}

	find(instance: InstanceId, nowMs: number): KnownInstance | undefined {
		const record = this.records.get(instance);
		return record === undefined ? undefined : this.createKnown(record, nowMs);
	}

	/** All instances that are known, this one left out. */
	list(nowMs: number): readonly KnownInstance[] {
		return [...this.records.values()].map(record => this.createKnown(record, nowMs));
	}

	/**
	 * Room of a service at an instance, drawn towards the mean of all as the view ages; undefined where
	 * nobody has told any.
	 */
	estimateRoom(instance: InstanceId, service: ServiceName, nowMs: number): ServiceRoom | undefined {
		const neutral = this.computeNeutral(service);
		const record = this.records.get(instance);
		const told = record === undefined ? undefined : findRoom(record.view, service);
		if (record === undefined || told === undefined || neutral === undefined) {
			return neutral;
		}
		const belief = Math.exp((record.spokenMs - nowMs) / this.figures.roomDecayMs);
		return computeMixedRoom(neutral, told, belief);
	}

	/** Silence after which an instance is suspected, in milliseconds. */
	computeSuspectAfter(): number {
		const { suspectAfterMs, suspectAfterRenewals } = this.figures;
		// Half of the bytes are received.
		const renewalMs = (this.records.size * this.meanViewBytes * 1_000) / (this.bytesPerSecond / 2);
		return Math.max(suspectAfterMs, renewalMs * suspectAfterRenewals);
	}

	/** Silence after which an instance is forgotten, in milliseconds. */
	computeForgetAfter(): number {
		return Math.max(leastHeldMs, this.computeSuspectAfter() * this.figures.forgetFactor);
	}

	/** Bytes a second that this node may spend on views, both directions and both roles together. */
	get bytesPerSecond(): number {
		return this.isSmall() ? smallFleetBytesPerSecond : this.figures.bytesPerSecond;
	}

	/** Exchanges that this node begins in one period. */
	get exchangesPerPeriod(): number {
		return this.isSmall() ? smallFleetExchanges : 1;
	}

	/** Mean bytes of the views held. */
	get viewBytes(): number {
		return this.meanViewBytes;
	}

	private isSmall(): boolean {
		return this.records.size <= smallFleetInstances;
	}

	private mergeOne(view: EntryView, nowMs: number): boolean {
		const spokenMs = nowMs - view.ageMs;
		const record = this.records.get(view.instance);
		if (record === undefined) {
			if (view.ageMs > this.computeSuspectAfter()) {
				return false;
			}
			this.records.set(view.instance, { view, spokenMs, failuresInRow: 0, pastBoots: new Set() });
			this.noteBytes(view);
			return true;
		}
		if (!isNewer(view, spokenMs, record)) {
			return false;
		}
		if (view.bootId !== record.view.bootId) {
			noteBoot(record);
		}
		record.view = view;
		record.spokenMs = spokenMs;
		record.failuresInRow = 0;
		this.noteBytes(view);
		return true;
	}

	private noteBytes(view: EntryView): void {
		this.meanViewBytes += (estimateViewBytes(view) - this.meanViewBytes) / 16;
	}

	private createKnown(record: InstanceRecord, nowMs: number): KnownInstance {
		const ageMs = nowMs - record.spokenMs;
		const isSuspect =
			ageMs > this.computeSuspectAfter() || record.failuresInRow >= this.figures.suspectAfterFailures;
		return { view: record.view, ageMs, isSuspect };
	}

	private computeNeutral(service: ServiceName): ServiceRoom | undefined {
		const told = [...this.records.values()]
			.map(record => findRoom(record.view, service))
			.filter(room => room !== undefined);
		if (told.length === 0) {
			return undefined;
		}
		const mean = (measure: (room: ServiceRoom) => number): number =>
			told.reduce((sum, room) => sum + measure(room), 0) / told.length;
		return {
			waitMs: mean(room => room.waitMs),
			freeSlots: mean(room => room.freeSlots),
			running: mean(room => room.running),
			queued: mean(room => room.queued),
		};
	}
}

/**
 * A higher sequence of the same boot is newer. Boots have no order: the one that spoke later is taken, and a
 * boot that was followed by another never comes back.
 */
function isNewer(view: EntryView, spokenMs: number, record: InstanceRecord): boolean {
	if (view.bootId === record.view.bootId) {
		return view.sequence > record.view.sequence;
	}
	return !record.pastBoots.has(view.bootId) && spokenMs > record.spokenMs;
}

function noteBoot(record: InstanceRecord): void {
	record.pastBoots.add(record.view.bootId);
	const [oldest] = record.pastBoots;
	if (record.pastBoots.size > mostPastBoots && oldest !== undefined) {
		record.pastBoots.delete(oldest);
	}
}

function computeMixedRoom(neutral: ServiceRoom, told: ServiceRoom, belief: number): ServiceRoom {
	const mix = (measure: (room: ServiceRoom) => number): number =>
		measure(neutral) + (measure(told) - measure(neutral)) * belief;
	return {
		waitMs: mix(room => room.waitMs),
		freeSlots: mix(room => room.freeSlots),
		running: mix(room => room.running),
		queued: mix(room => room.queued),
	};
}
