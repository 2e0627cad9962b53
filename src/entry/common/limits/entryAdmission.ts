/**
 * Admits the requests of organisations with a limit at one entry. With a fresh answer of the coordinator, each request is
 * admitted with the fraction that the answer has for its organisation. The choice does not depend on the size of the
 * request: a bucket that admits what fits would refuse large requests and admit small ones.
 *
 * Without a fresh answer, the entry admits its organisations at the rate that it admitted at the time of the last answer.
 * These rates add up to at most the limit over all entries. An entry that never had an answer uses its share of the limit. So does one
 * that has just started, for a jump of demand that it has not reported: after the loss of all entries, callers that waited arrive
 * together, and the first answer of a coordinator, which knows nothing of them, would admit them all.
 */

import type { IRandom } from '../../../base/common/random';
import { DecayingRate } from './decayingRate';
import type { DemandAnswer, ReportedDemand } from './limitMessages';
import type { LimitedOrganisation, OrganisationKey } from './limitTable';

/** The decision on one request. */
export interface LimitVerdict {
	readonly isAdmitted: boolean;
	readonly retryAfterMs: number;
	/** The probability with which the request was admitted. */
	readonly probability: number;
	/** Whether the demand has grown so much since the last report that the coordinator should know at once. */
	readonly isJump: boolean;
}

/** What an entry knows of one organisation. */
export interface AdmissionState {
	/** Units per second that callers asked of this entry. */
	readonly ownDemand: number;
	/** Of the last answer; 1 if it did not list the organisation. */
	readonly fraction: number;
	/** Units per second over all entries; undefined if the last answer did not list the organisation. */
	readonly fleetDemand: number | undefined;
}

interface AdmissionRecord {
	readonly demand: DecayingRate;
	unreportedAsked: number;
	unreportedAdmitted: number;
	fraction: number;
	fleetDemand: number | undefined;
	/** Units per second that this entry admitted at the time of the last answer. */
	admittedAtAnswer: number;
	demandAtReport: number;
}

/**
 * Time constant of an entry's own demand. In a large fleet an entry receives a request of most organisations only once in
 * some seconds, and the demand measured over one second would be zero most of the time.
 */
const ownDemandTimeMs = 10_000;

/** Longer than the longest interval between two reports, and the time until the next coordinator answers. */
const freshAnswerMs = 1_500;

/**
 * What an entry that has just started admits of demand that its coordinator does not know, in equal shares. It admitted nothing
 * while it was down, so the limit still holds over a few seconds, also in a series of restarts.
 */
const startShareFactor = 3;

/** Time after its start in which an entry admits a jump of demand by its share until it has reported it. */
const startMs = 5_000;

/** Part of an equal share that an entry may use of an organisation that it had no demand of at the last answer. */
const minSharePart = 0.1;

/**
 * Demand counts as grown if it exceeds twice the expected one by this part of a second's limit and by some requests. Two
 * requests that arrive together are no jump; with hundreds of organisations, one of them has two at most times.
 */
const jumpFactor = 2;
const jumpSeconds = 0.05;
const jumpRequests = 4;

const minRetryAfterMs = 1_000;
const maxRetryAfterMs = 30_000;
/** Spreads the callers that were refused at one moment. */
const retrySpread = 0.2;
/** Without a fresh answer, the fraction is not known until the next one, which arrives within this time. */
const staleRetryAfterMs = 1_000;
const minProbability = 1e-3;
const msPerSecond = 1_000;

/** Admission and unreported counts of one entry. */
export class EntryAdmission {
	private readonly records = new Map<OrganisationKey, AdmissionRecord>();
	private answeredMs: number | undefined;
	private reportedMs: number;

	constructor(
		private readonly startedMs: number,
		/** Number of entries of the fleet; infinite if it is not known. */
		private readonly countFleet: () => number,
		private readonly random: IRandom,
	) {
		this.reportedMs = startedMs;
	}

	admit(organisation: LimitedOrganisation, cost: number, nowMs: number): LimitVerdict {
		const record = this.getRecord(organisation.key);
		record.demand.add(cost, nowMs, 0);
		record.unreportedAsked += cost;
		const isJump = this.isJump(record, organisation, cost, nowMs);
		const isFresh = this.isFresh(nowMs);
		const fraction = isFresh ? record.fraction : 1;
		const isDemandKnown = isFresh && !(isJump && this.isStarting(nowMs));
		const share = isDemandKnown ? 1 : this.computeShare(record, organisation, nowMs);
		const probability = Math.min(fraction, share);
		const isAdmitted = this.random.pickFraction() < probability;
		if (isAdmitted) {
			record.unreportedAdmitted += cost;
		}
		return {
			isAdmitted,
			probability,
			retryAfterMs: isAdmitted ? 0 : this.computeRetryAfterMs(isFresh ? record : undefined, organisation),
			isJump,
		};
	}

	/** Returns the units of a request that was admitted and then not run. */
	releaseUnits(key: OrganisationKey, cost: number): void {
		this.getRecord(key).unreportedAdmitted -= cost;
	}

	/** Whether requests have arrived that were not reported. */
	hasUnreported(): boolean {
		return [...this.records.values()].some(({ unreportedAsked }) => unreportedAsked > 0);
	}

	/** Milliseconds since the last answer; undefined if there was none. */
	getAnswerAgeMs(nowMs: number): number | undefined {
		return this.answeredMs === undefined ? undefined : nowMs - this.answeredMs;
	}

	isFresh(nowMs: number): boolean {
		return this.answeredMs !== undefined && nowMs - this.answeredMs <= freshAnswerMs;
	}

	/** Takes the counts to report, in whole units; what is left counts into the next report. */
	takeCounts(nowMs: number): { readonly overMs: number; readonly items: readonly ReportedDemand[] } {
		const overMs = nowMs - this.reportedMs;
		this.reportedMs = nowMs;
		const items: ReportedDemand[] = [];
		for (const [key, record] of this.records) {
			const asked = Math.round(record.unreportedAsked);
			const admitted = Math.round(record.unreportedAdmitted);
			if (asked === 0 && admitted === 0) {
				continue;
			}
			record.unreportedAsked -= asked;
			record.unreportedAdmitted -= admitted;
			record.demandAtReport = this.computeOwnDemand(record, nowMs);
			items.push({ key, asked, admitted });
		}
		return { overMs, items };
	}

	/**
	 * Adds counts again whose report was not answered. If only the answer was lost, they count twice, which admits too
	 * little for a moment; if they were dropped instead, a lost report would admit too much.
	 */
	mergeCounts(items: readonly ReportedDemand[], overMs: number): void {
		this.reportedMs -= overMs;
		for (const { key, asked, admitted } of items) {
			const record = this.getRecord(key);
			record.unreportedAsked += asked;
			record.unreportedAdmitted += admitted;
		}
	}

	/** Applies the answer of a coordinator that is ready. */
	applyAnswer({ fractions }: DemandAnswer, nowMs: number): void {
		this.answeredMs = nowMs;
		for (const record of this.records.values()) {
			record.fraction = 1;
			record.fleetDemand = undefined;
		}
		for (const { key, fraction, fleetDemand } of fractions) {
			const record = this.getRecord(key);
			record.fraction = fraction;
			record.fleetDemand = fleetDemand;
		}
		for (const record of this.records.values()) {
			record.admittedAtAnswer = this.computeOwnDemand(record, nowMs) * record.fraction;
		}
	}

	describe(key: OrganisationKey, nowMs: number): AdmissionState {
		const record = this.records.get(key);
		return {
			ownDemand: record === undefined ? 0 : this.computeOwnDemand(record, nowMs),
			fraction: record?.fraction ?? 1,
			fleetDemand: record?.fleetDemand,
		};
	}

	private getRecord(key: OrganisationKey): AdmissionRecord {
		let record = this.records.get(key);
		if (record === undefined) {
			record = {
				demand: new DecayingRate(ownDemandTimeMs),
				unreportedAsked: 0,
				unreportedAdmitted: 0,
				fraction: 1,
				fleetDemand: undefined,
				admittedAtAnswer: 0,
				demandAtReport: 0,
			};
			this.records.set(key, record);
		}
		return record;
	}

	/** Corrects for the time before the process started, which the average would count as time without demand. */
	private computeOwnDemand(record: AdmissionRecord, nowMs: number): number {
		const measuredPart = 1 - Math.exp(-Math.max(1, nowMs - this.startedMs) / ownDemandTimeMs);
		return record.demand.get(nowMs) / measuredPart;
	}

	private computeShare(record: AdmissionRecord, { limit }: LimitedOrganisation, nowMs: number): number {
		const equalShare = limit.perSecond / this.countFleet();
		const share =
			this.answeredMs === undefined || this.isStarting(nowMs)
				? equalShare * startShareFactor
				: Math.max(record.admittedAtAnswer, equalShare * minSharePart);
		const ownDemand = this.computeOwnDemand(record, nowMs);
		return ownDemand > 0 ? Math.min(1, share / ownDemand) : 1;
	}

	private isStarting(nowMs: number): boolean {
		return nowMs - this.startedMs < startMs;
	}

	private isJump(
		record: AdmissionRecord,
		{ limit }: LimitedOrganisation,
		cost: number,
		nowMs: number,
	): boolean {
		const elapsedS = (nowMs - this.reportedMs) / msPerSecond;
		const expected = record.demandAtReport * elapsedS;
		const margin = Math.max(jumpSeconds * limit.perSecond, jumpRequests * cost);
		return record.unreportedAsked > jumpFactor * expected + margin;
	}

	/**
	 * While demand stays the same, a caller gets a request through with the fraction that the limit has in it, so it is asked to
	 * come back after as many seconds as tries are needed on average. The fraction of the moment may be far lower, while a debt
	 * is paid back within a second.
	 */
	private computeRetryAfterMs(record: AdmissionRecord | undefined, { limit }: LimitedOrganisation): number {
		const demand = record?.fleetDemand ?? 0;
		const lasting = demand > 0 ? Math.min(1, limit.perSecond / demand) : 0;
		const probability = Math.max(record?.fraction ?? 0, lasting, minProbability);
		const expectedMs = record === undefined ? staleRetryAfterMs : minRetryAfterMs / probability;
		const spreadMs = expectedMs * (1 + retrySpread * this.random.pickFraction());
		return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(spreadMs)));
	}
}
