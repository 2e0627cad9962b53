/**
 * What an entry knows of one other region from the requests it sent there: how warm its caches are for
 * them, how many may be in flight, and what the link still carries.
 *
 * Load pattern: a region was lost and returns with cold caches. Without the steps every sender finds it
 * idle at the same moment, and the load of the whole fleet meets targets that compute each prefix anew.
 */

import type { SendAwayParameters } from '../scheduling/policy';
import { DecayingSum } from '../scheduling/decayingSum';
import { LinkBudget } from './linkBudget';

/** Weight of one answer in the mean time of answers, and the multiple of it that counts as slow. */
const tookWeight = 0.1;
const slowFactor = 2;

/** One other region as one entry sends to it. */
export class RemoteRegion {
	readonly link: LinkBudget;
	private readonly answers: DecayingSum;
	private inFlight = 0;
	private meanTookMs: number | undefined;
	private step: number;
	private steppedMs = Number.NEGATIVE_INFINITY;
	private offeredMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly figures: SendAwayParameters) {
		this.link = new LinkBudget(figures.linkBurstMs, figures.linkUtilization);
		this.answers = new DecayingSum(figures.cacheDecayMs);
		this.step = figures.firstStep;
	}

	/** The region has offered room; after an absence it starts at the first step. */
	noteOffer(nowMs: number): void {
		if (nowMs - this.offeredMs > this.figures.slowStartAfterSilenceMs) {
			this.step = this.figures.firstStep;
			this.steppedMs = nowMs;
		}
		this.offeredMs = Math.max(this.offeredMs, nowMs);
	}

	/** Whether a further request may be in flight to the region. */
	hasRoom(): boolean {
		return this.inFlight < this.step;
	}

	/** Cost of its cold caches now, in milliseconds. */
	computeColdMs(nowMs: number): number {
		const { coldStartMs, warmAfterAnswers } = this.figures;
		return coldStartMs * Math.exp(-this.answers.getValue(nowMs) / warmAfterAnswers);
	}

	noteSent(): void {
		this.inFlight++;
	}

	/**
	 * A request sent there ended. A step that is full and answered as fast as before is doubled; a failure
	 * halves it.
	 */
	noteEnd(isAnswered: boolean, tookMs: number, nowMs: number): void {
		const wasFull = this.inFlight >= this.step;
		this.inFlight = Math.max(0, this.inFlight - 1);
		if (!isAnswered) {
			this.step = Math.max(this.figures.firstStep, Math.floor(this.step / 2));
			this.steppedMs = nowMs;
			return;
		}
		this.answers.add(1, nowMs);
		const usualMs = this.meanTookMs ?? tookMs;
		this.meanTookMs = usualMs + tookWeight * (tookMs - usualMs);
		const isFast = tookMs <= usualMs * slowFactor;
		if (wasFull && isFast && nowMs - this.steppedMs >= this.figures.slowStartStepMs) {
			this.step *= 2;
			this.steppedMs = nowMs;
		}
	}
}
