/**
 * The simplest way to hold a limit over all entries: each entry admits an equal, fixed part of it, without messages. An
 * organisation whose requests reach few of the entries gets only their parts. Used to compare.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { OrganisationName } from '../../../core/ids/common/ids';
import type { LimitTable } from './limitTable';
import type { ComputeCost, IOrganisationLimiter, LimitCharge, LimitDecision } from './organisationLimiter';

interface ShareBucket {
	level: number;
	filledMs: number;
}

const msPerSecond = 1_000;

export class EqualShareLimits implements IOrganisationLimiter {
	private readonly buckets = new Map<OrganisationName, ShareBucket>();

	constructor(
		private table: LimitTable,
		private readonly countFleet: () => number,
		private readonly timers: ITimerService,
	) {}

	setTable(table: LimitTable): void {
		this.table = table;
	}

	admit(name: OrganisationName, computeCost: ComputeCost): LimitDecision | undefined {
		const organisation = this.table.findByName(name);
		if (organisation === undefined) {
			return undefined;
		}
		const { perSecond, burst } = organisation.limit;
		const bucket = this.advanceBucket(name, perSecond, burst);
		const cost = computeCost(organisation.limit);
		const isAdmitted = bucket.level > 0;
		if (isAdmitted) {
			bucket.level -= cost;
		}
		const retryAfterMs = isAdmitted ? 0 : (-bucket.level * this.countFleet() * msPerSecond) / perSecond;
		const verdict = { isAdmitted, retryAfterMs, probability: isAdmitted ? 1 : 0, isJump: false };
		return { charge: { organisation: name, cost }, verdict };
	}

	releaseUnits({ organisation, cost }: LimitCharge): void {
		const bucket = this.buckets.get(organisation);
		if (bucket !== undefined) {
			bucket.level += cost;
		}
	}

	private advanceBucket(name: OrganisationName, perSecond: number, burst: number): ShareBucket {
		const nowMs = this.timers.getNow();
		const bucket = this.buckets.get(name) ?? { level: 0, filledMs: nowMs };
		this.buckets.set(name, bucket);
		const entries = this.countFleet();
		const filled = (perSecond * (nowMs - bucket.filledMs)) / msPerSecond / entries;
		bucket.level = Math.min(Math.max(burst, perSecond) / entries, bucket.level + filled);
		bucket.filledMs = nowMs;
		return bucket;
	}
}
