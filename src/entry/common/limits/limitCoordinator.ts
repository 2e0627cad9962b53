/**
 * Decides for the entries of one zone which fraction of each organisation's demand may be admitted. All its state is
 * rebuilt from the reports of the entries and from the sums of the other zones' coordinators; a coordinator that has just
 * started assumes empty buckets.
 *
 * A zone that is cut off decides for itself. Both sides compute the zones' shares of the limit from the demand before the
 * cut, so that the shares add up to the limit.
 */

import type { BootId, InstanceId, ZoneName } from '../../../core/ids/common/ids';
import { FleetBucket } from './fleetBucket';
import type {
	AdmittedFraction,
	DemandAnswer,
	DemandReport,
	ReportedDemand,
	ZoneCount,
	ZoneSums,
} from './limitMessages';
import type { LimitedOrganisation, LimitTable, OrganisationKey } from './limitTable';
import type { CutChange } from './remoteZones';
import { RemoteZones } from './remoteZones';
import type { IZoneDirectory, ZoneEntries } from './zoneDirectory';

/** The entry on which a coordinator runs. */
export interface CoordinatorIdentity {
	readonly instance: InstanceId;
	readonly boot: BootId;
	readonly zone: ZoneName;
}

interface OrganisationState {
	readonly organisation: LimitedOrganisation;
	readonly bucket: FleetBucket;
	/** Cumulative counts of the entries that report to this coordinator. */
	asked: number;
	admitted: number;
	changedMs: number;
	fraction: number;
	demand: number;
	/** Shares of zones that are cut off, as of their cut. */
	readonly cutShares: Map<ZoneName, number>;
}

/**
 * Entries report at least twice a second, also without requests. With a longer window, a coordinator that lost its entries
 * to another one would keep sending sums, and the other zones would take its zone for one without demand.
 */
const reportingWindowMs = 1_200;

/** By then every entry that reaches this coordinator has reported. */
const collectingMs = 700;

/** Fractions are computed at most this often, because several entries report in each millisecond of a large zone. */
const fractionLifetimeMs = 50;

/** Interval of the sums of organisations whose demand matters to other zones. */
export const sumsIntervalMs = 250;
/** Interval at which a coordinator shows that it is there. */
export const idleSumsIntervalMs = 1_000;
/**
 * Interval of the sums of all organisations that had requests. A shorter one would use up the bytes for control where
 * organisations are many.
 */
export const fullSumsIntervalMs = 4_000;

/** Counts are sent again for some time after their last change, in case a message is lost. */
const resentMs = 10_000;

/** Demand of a zone above this part of an equal share of the limit is sent at each interval. */
const importantPart = 0.8;

/** Demand above this part of the limit makes entries ask for answers as often as those with requests do. */
const closePart = 0.5;

/**
 * Weight of a zone's entries in its share of the limit, against its demand before a cut. A zone without demand before
 * the cut can thus still admit some.
 */
const floorPart = 0.2;

/** The coordinator of one zone. */
export class LimitCoordinator {
	private readonly states = new Map<OrganisationKey, OrganisationState>();
	private readonly reporters = new Map<InstanceId, number>();
	private readonly remoteZones: RemoteZones;
	private zones: readonly ZoneEntries[] = [];
	private reportedMs = Number.NEGATIVE_INFINITY;
	private activeSinceMs = 0;
	private fractionsMs = Number.NEGATIVE_INFINITY;
	private fractions: readonly AdmittedFraction[] = [];
	private isClose = false;

	constructor(
		private readonly self: CoordinatorIdentity,
		private readonly directory: IZoneDirectory,
		private table: LimitTable,
		private readonly startedMs: number,
	) {
		this.remoteZones = new RemoteZones(self.zone);
	}

	/** Applies the limits of a new manifest; buckets are cut to their new size at once. */
	setTable(table: LimitTable, nowMs: number): void {
		this.table = table;
		for (const [key, state] of this.states) {
			const organisation = table.findByKey(key);
			if (organisation !== undefined) {
				this.states.set(key, { ...state, organisation });
			}
		}
		this.computeFractions(nowMs);
	}

	/** Whether entries have reported to this coordinator lately. */
	isActive(nowMs: number): boolean {
		return nowMs - this.reportedMs <= reportingWindowMs;
	}

	receiveReport({ instance, items, overMs }: DemandReport, nowMs: number): DemandAnswer {
		this.noteActivity(nowMs);
		this.reporters.set(instance, nowMs);
		const isReady = this.isReady(nowMs);
		const factor = isReady ? this.computeFactor(nowMs) : 1;
		for (const item of items) {
			this.recordReported(item, factor, overMs, nowMs);
		}
		if (nowMs - this.fractionsMs >= fractionLifetimeMs) {
			this.computeFractions(nowMs);
		}
		return { isReady, isClose: this.isClose, fractions: isReady ? this.fractions : [] };
	}

	receiveSums(sums: ZoneSums, nowMs: number): void {
		this.applyCuts(nowMs);
		const growths = this.remoteZones.receive(sums, nowMs);
		for (const { count, asked, admitted, overMs } of growths) {
			const state = this.findState(count.key, nowMs);
			if (state !== undefined) {
				state.bucket.advance(state.organisation.limit, this.computeUsablePart(state), nowMs);
				state.bucket.recordDemand(sums.zone, asked, admitted, nowMs, overMs);
				state.bucket.mergeLevel(count.level);
			}
		}
		this.applyCuts(nowMs);
	}

	/** Creates the sums for the other zones; of important organisations only unless they are to be complete. */
	createSums(nowMs: number, isFull: boolean): ZoneSums {
		this.computeFractions(nowMs);
		const states = [...this.states.values()];
		const important = new Set(states.filter(state => this.isImportant(state, nowMs)));
		const sent = states.filter(
			state => important.has(state) || (isFull && nowMs - state.changedMs <= resentMs),
		);
		return {
			...this.self,
			manifestVersion: this.table.version,
			countedMs: nowMs - this.startedMs,
			intervalMs: important.size > 0 ? sumsIntervalMs : idleSumsIntervalMs,
			reporting: this.countReporting(nowMs),
			known: this.countKnown(),
			receivedZones: this.remoteZones.listReceivedZones(nowMs),
			counts: sent.map(createCount),
		};
	}

	/** Lists the coordinators of another zone whose sums arrive. */
	listSenders(zone: ZoneName, nowMs: number): readonly InstanceId[] {
		return this.remoteZones.listSenders(zone, nowMs);
	}

	/** After a pause, nothing that was known before holds, as after a start. */
	private noteActivity(nowMs: number): void {
		if (!this.isActive(nowMs)) {
			this.activeSinceMs = nowMs;
			this.reporters.clear();
			this.remoteZones.clear();
			this.updateZones();
			for (const state of this.states.values()) {
				state.bucket.clear(nowMs);
				state.cutShares.clear();
			}
		}
		this.reportedMs = nowMs;
	}

	private isReady(nowMs: number): boolean {
		return nowMs - this.activeSinceMs >= collectingMs && Number.isFinite(this.directory.countFleet());
	}

	private recordReported(
		{ key, asked, admitted }: ReportedDemand,
		factor: number,
		overMs: number,
		nowMs: number,
	): void {
		const state = this.findState(key, nowMs);
		if (state === undefined) {
			return;
		}
		state.asked += asked;
		state.admitted += admitted;
		state.changedMs = nowMs;
		state.bucket.recordDemand(this.self.zone, asked * factor, admitted * factor, nowMs, overMs);
	}

	/** Entries that do not report to this coordinator are assumed to have the mean demand of those that do. */
	private computeFactor(nowMs: number): number {
		return Math.max(1, this.countKnown() / Math.max(1, this.countReporting(nowMs)));
	}

	private countReporting(nowMs: number): number {
		for (const [instance, receivedMs] of this.reporters) {
			if (nowMs - receivedMs > reportingWindowMs) {
				this.reporters.delete(instance);
			}
		}
		return this.reporters.size;
	}

	private countKnown(): number {
		return this.zones.find(({ zone }) => zone === this.self.zone)?.known ?? 1;
	}

	private findState(key: OrganisationKey, nowMs: number): OrganisationState | undefined {
		const known = this.states.get(key);
		const organisation = this.table.findByKey(key);
		if (known !== undefined || organisation === undefined) {
			return organisation && known;
		}
		const state: OrganisationState = {
			organisation,
			bucket: new FleetBucket(this.startedMs),
			asked: 0,
			admitted: 0,
			changedMs: nowMs,
			fraction: 1,
			demand: 0,
			cutShares: new Map(),
		};
		this.states.set(key, state);
		return state;
	}

	private updateZones(): void {
		this.zones = this.directory.listZones();
	}

	/** Applies which zones are cut off. The time until a change counts with the shares before it. */
	private applyCuts(nowMs: number): void {
		const changes = this.remoteZones.update(nowMs);
		for (const change of changes) {
			for (const state of this.states.values()) {
				state.bucket.advance(state.organisation.limit, this.computeUsablePart(state), nowMs);
				this.applyCut(state, change, nowMs);
			}
		}
	}

	private applyCut(state: OrganisationState, change: CutChange, nowMs: number): void {
		const { zone, isCut, isSilent, receivedMs } = change;
		if (!isCut) {
			state.cutShares.delete(zone);
			return;
		}
		state.cutShares.set(zone, this.computeShare(state, zone, receivedMs, nowMs));
		if (isSilent) {
			state.bucket.recordSilence(zone, receivedMs, nowMs);
		}
	}

	/** Computes the share of the limit that a zone had by its demand when its last sums arrived. */
	private computeShare(state: OrganisationState, zone: ZoneName, receivedMs: number, nowMs: number): number {
		const { bucket } = state;
		const demands = this.zones.map(({ zone: name }) =>
			bucket.getLongTerm(name, name === zone ? receivedMs : (this.findReceivedMs(name, nowMs) ?? receivedMs)),
		);
		const total = demands.reduce((sum, demand) => sum + demand, 0);
		const entriesPart = this.computeEntriesPart(zone);
		if (total <= 0) {
			return entriesPart;
		}
		const demandPart = bucket.getLongTerm(zone, receivedMs) / total;
		return (demandPart + floorPart * entriesPart) / (1 + floorPart);
	}

	private computeEntriesPart(zone: ZoneName): number {
		const total = this.zones.reduce((sum, { known }) => sum + known, 0);
		return (this.zones.find(({ zone: name }) => name === zone)?.known ?? 0) / Math.max(1, total);
	}

	private findReceivedMs(zone: ZoneName, nowMs: number): number | undefined {
		return zone === this.self.zone ? nowMs : this.remoteZones.findReceivedMs(zone);
	}

	/** The part of the limit that is not held by zones that are cut off. */
	private computeUsablePart({ cutShares }: OrganisationState): number {
		let part = 1;
		for (const { zone } of this.zones) {
			if (zone !== this.self.zone && this.remoteZones.findReceivedMs(zone) === undefined) {
				part -= cutShares.get(zone) ?? this.computeEntriesPart(zone);
			}
		}
		return Math.max(0, part);
	}

	private computeFractions(nowMs: number): void {
		this.fractionsMs = nowMs;
		this.updateZones();
		this.applyCuts(nowMs);
		const received = this.listCountedZones(nowMs);
		const fractions: AdmittedFraction[] = [];
		this.isClose = false;
		for (const [key, state] of this.states) {
			if (this.table.findByKey(key) === undefined) {
				continue;
			}
			const { bucket, organisation } = state;
			const part = this.computeUsablePart(state);
			bucket.advance(organisation.limit, part, nowMs);
			state.demand = bucket.estimateDemand(received);
			this.isClose ||= state.demand > closePart * organisation.limit.perSecond;
			state.fraction = bucket.computeFraction(organisation.limit, part, state.demand);
			if (state.fraction < 1) {
				fractions.push({ key, fraction: state.fraction, fleetDemand: state.demand });
			}
		}
		this.fractions = fractions;
	}

	/** The zones whose demand counts, with the time up to which it is known. */
	private listCountedZones(nowMs: number): ReadonlyMap<ZoneName, number> {
		const received = new Map<ZoneName, number>([[this.self.zone, nowMs]]);
		for (const { zone } of this.zones) {
			const receivedMs = this.findReceivedMs(zone, nowMs);
			if (receivedMs !== undefined) {
				received.set(zone, receivedMs);
			}
		}
		return received;
	}

	private isImportant({ bucket, organisation, fraction }: OrganisationState, nowMs: number): boolean {
		const equalShare = organisation.limit.perSecond / Math.max(1, this.zones.length);
		const demand = bucket.getZone(this.self.zone).demand.get(nowMs);
		return demand > importantPart * equalShare || (fraction < 1 && demand > 0);
	}
}

function createCount({ organisation, asked, admitted, bucket }: OrganisationState): ZoneCount {
	return { key: organisation.key, asked: asked >>> 0, admitted: admitted >>> 0, level: bucket.getLevel() };
}
