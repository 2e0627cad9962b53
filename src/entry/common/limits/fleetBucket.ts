/**
 * The token bucket of one organisation over all zones, as one coordinator keeps it, and the demand of the zones. From both
 * follows the fraction of the demand that may be admitted.
 *
 * The fraction applies to the demand of every entry, so an organisation inside its limit has the fraction 1 wherever its
 * requests arrive.
 */

import type { ZoneName } from '../../../core/ids/common/ids';
import type { OrganisationLimit } from '../../../core/manifest/common/organisations';
import { DecayingRate } from './decayingRate';

/** Demand and use of one zone, in units per second. */
export interface ZoneDemand {
	/** Follows a jump within some tenths of a second. */
	readonly recent: DecayingRate;
	readonly demand: DecayingRate;
	/** Basis of the zone's share of the limit when it is cut off. */
	readonly longTerm: DecayingRate;
	readonly admitted: DecayingRate;
}

/** The part of the limit that a coordinator may use: all of it unless zones are cut off. */
export type UsablePart = number;

const recentTimeMs = 200;
const demandTimeMs = 1_000;
const longTermTimeMs = 5_000;
const msPerSecond = 1_000;

/**
 * How far a rise of the demand is continued, because the averages follow a jump late and would admit too much meanwhile.
 */
const trendGain = 0.5;

/**
 * Time in which the tokens in the bucket may be used. Reports, sums and answers together take about half a second, and a
 * shorter time would admit the same tokens several times before the use is known.
 */
const surplusSeconds = 1;

/** Time in which a debt is paid back. */
const debtSeconds = 1;

/**
 * Smallest size of a bucket, in seconds of the limit. Without it, requests that arrive at random would be refused for an
 * organisation with a burst of 0 even if they stay below the limit on average.
 */
const minBurstSeconds = 0.25;

/**
 * Part of the difference that a bucket moves towards that of another coordinator with each of its messages. The sender
 * does not have the latest use of the receiver's zone, so its level is too high by that, and a larger part would admit more
 * than the limit.
 */
const levelGain = 0.02;

/** The bucket and the demand of one organisation. */
export class FleetBucket {
	private readonly zones = new Map<ZoneName, ZoneDemand>();
	private level = 0;

	constructor(private levelMs: number) {}

	getZone(zone: ZoneName): ZoneDemand {
		let demand = this.zones.get(zone);
		if (demand === undefined) {
			demand = {
				recent: new DecayingRate(recentTimeMs),
				demand: new DecayingRate(demandTimeMs),
				longTerm: new DecayingRate(longTermTimeMs),
				admitted: new DecayingRate(demandTimeMs),
			};
			this.zones.set(zone, demand);
		}
		return demand;
	}

	/** Adds demand of a zone over the last `overMs`, and takes what was admitted from the bucket. */
	recordDemand(zone: ZoneName, asked: number, admitted: number, nowMs: number, overMs: number): void {
		const demand = this.getZone(zone);
		demand.recent.add(asked, nowMs, overMs);
		demand.demand.add(asked, nowMs, overMs);
		demand.longTerm.add(asked, nowMs, overMs);
		demand.admitted.add(admitted, nowMs, overMs);
		this.level -= admitted;
	}

	/** Takes from the bucket what a zone is assumed to have admitted while no sums of it arrived. */
	recordSilence(zone: ZoneName, receivedMs: number, nowMs: number): void {
		const admittedRate = this.zones.get(zone)?.admitted.get(receivedMs) ?? 0;
		this.level -= (admittedRate * (nowMs - receivedMs)) / msPerSecond;
	}

	/** Moves the level towards that of another coordinator, so that lost messages do not keep them apart. */
	mergeLevel(level: number): void {
		this.level += levelGain * (level - this.level);
	}

	/** Assumes an empty bucket. A debt stays. */
	clear(nowMs: number): void {
		this.level = Math.min(0, this.level);
		this.levelMs = nowMs;
	}

	/** Fills the bucket for the time since the last call. */
	advance({ perSecond, burst }: OrganisationLimit, part: UsablePart, nowMs: number): number {
		const size = Math.max(burst, perSecond * minBurstSeconds) * part;
		const filled = (perSecond * part * (nowMs - this.levelMs)) / msPerSecond;
		this.level = Math.min(size, this.level + filled);
		this.levelMs = nowMs;
		return this.level;
	}

	getLevel(): number {
		return this.level;
	}

	/**
	 * Estimates the demand of the given zones in units per second. The time of a zone is that of its last message, because
	 * the demand of a zone whose sums are late continues.
	 */
	estimateDemand(zones: ReadonlyMap<ZoneName, number>): number {
		let recent = 0;
		let demand = 0;
		for (const [zone, receivedMs] of zones) {
			const zoneDemand = this.zones.get(zone);
			recent += zoneDemand?.recent.get(receivedMs) ?? 0;
			demand += zoneDemand?.demand.get(receivedMs) ?? 0;
		}
		return Math.max(demand, recent + trendGain * (recent - demand));
	}

	getLongTerm(zone: ZoneName, receivedMs: number): number {
		return this.zones.get(zone)?.longTerm.get(receivedMs) ?? 0;
	}

	/** Returns the fraction of a demand that may be admitted. The bucket has to be filled first. */
	computeFraction({ perSecond }: OrganisationLimit, part: UsablePart, demand: number): number {
		const allowed = perSecond * part + this.level / (this.level > 0 ? surplusSeconds : debtSeconds);
		return demand <= allowed ? 1 : Math.max(0, allowed) / demand;
	}
}
