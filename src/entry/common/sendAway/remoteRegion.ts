/**
 * State that an entry keeps about another region, derived from the requests it sent there: how warm the
 * region's caches are for these requests, how many requests may be in flight, and the remaining link budget.
 *
 * The in-flight limit starts low and doubles step by step. Otherwise, when a lost region returns with cold
 * caches, every sender finds it idle at the same moment, and the load of the whole fleet reaches targets that
 * must compute each prefix again.
 */

import type { SendAwayParameters } from '../scheduling/policy';
import { DecayingSum } from '../scheduling/decayingSum';
import { LinkBudget } from './linkBudget';

/** Weight of one request in the moving average of durations. */
const durationSmoothing = 0.1;
/** Multiple of the average duration above which a request counts as slow. */
const slowFactor = 2;

/** The state of one remote region at one sending entry. */
export class RemoteRegion {
	readonly link: LinkBudget;
	private readonly recentAnswers: DecayingSum;
	private inFlight = 0;
	private meanDurationMs: number | undefined;
	private inFlightLimit: number;
	private limitChangedMs = Number.NEGATIVE_INFINITY;
	private lastOfferMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: SendAwayParameters) {
		this.link = new LinkBudget(options.linkBurstMs, options.linkUtilization);
		this.recentAnswers = new DecayingSum(options.cacheDecayMs);
		this.inFlightLimit = options.firstStep;
	}

	/** Records that the region offered capacity. After an absence the in-flight limit restarts at its first step. */
	recordOffer(nowMs: number): void {
		if (nowMs - this.lastOfferMs > this.options.slowStartAfterSilenceMs) {
			this.inFlightLimit = this.options.firstStep;
			this.limitChangedMs = nowMs;
		}
		this.lastOfferMs = Math.max(this.lastOfferMs, nowMs);
	}

	/** Whether one more request may be in flight to the region. */
	isBelowLimit(): boolean {
		return this.inFlight < this.inFlightLimit;
	}

	/** Expected delay from cold caches in the region, in milliseconds. It decays as requests are answered there. */
	computeColdCacheCost(nowMs: number): number {
		const { coldStartMs, warmAfterAnswers } = this.options;
		return coldStartMs * Math.exp(-this.recentAnswers.getValue(nowMs) / warmAfterAnswers);
	}

	recordSent(): void {
		this.inFlight++;
	}

	/**
	 * Records the end of a request sent to the region. A fast answer while the in-flight limit is reached doubles
	 * the limit, at most once per step time. A failure halves it.
	 */
	recordEnd(isAnswered: boolean, durationMs: number, nowMs: number): void {
		const wasAtLimit = this.inFlight >= this.inFlightLimit;
		this.inFlight = Math.max(0, this.inFlight - 1);
		if (!isAnswered) {
			this.inFlightLimit = Math.max(this.options.firstStep, Math.floor(this.inFlightLimit / 2));
			this.limitChangedMs = nowMs;
			return;
		}
		this.recentAnswers.add(1, nowMs);
		const meanMs = this.meanDurationMs ?? durationMs;
		this.meanDurationMs = meanMs + durationSmoothing * (durationMs - meanMs);
		const isFast = durationMs <= meanMs * slowFactor;
		if (wasAtLimit && isFast && nowMs - this.limitChangedMs >= this.options.slowStartStepMs) {
			this.inFlightLimit *= 2;
			this.limitChangedMs = nowMs;
		}
	}
}
