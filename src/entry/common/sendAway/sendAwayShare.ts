/**
 * The share of requests that are sent away, which changes slowly in both directions. Load pattern: offers
 * that lag while several entries decide by them. Without it all entries send everything to a region that
 * looks idle, find it full a second later, stop, and start over: load swings between the regions.
 *
 * The rate of change is proportional to the saving, so that the share comes to rest where sending stops
 * being worth it instead of swinging about that point.
 */

import type { SendAwayParameters } from '../scheduling/policy';

/** A gap between decisions longer than this counts as this much, in milliseconds. */
const longestGapMs = 1_000;

/** Follows the share of one service at one entry. */
export class SendAwayShare {
	private share = 0;
	private updatedMs: number | undefined;

	constructor(private readonly figures: SendAwayParameters) {}

	/** Takes in what sending a request would save now beyond the margin (negative: cost) and gives the share. */
	update(savingMs: number, nowMs: number): number {
		const gapMs = Math.min(longestGapMs, nowMs - (this.updatedMs ?? nowMs));
		this.updatedMs = nowMs;
		const pull = Math.max(-1, Math.min(1, savingMs / this.figures.fullRateSavingMs));
		const change = (pull * this.figures.shareChangePerSecond * gapMs) / 1_000;
		this.share = Math.max(0, Math.min(1, this.share + change));
		return this.share;
	}
}
