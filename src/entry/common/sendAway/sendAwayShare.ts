/**
 * The share of requests sent to other regions, which changes slowly in both directions. Offers lag while
 * several entries decide by them. Without a slow change all entries send everything to a region that looks
 * idle, find it full a second later, stop and start over, so that load oscillates between the regions.
 *
 * The rate of change is proportional to the saving, so that the share settles where sending no longer pays
 * off instead of oscillating around that point.
 */

import type { SendAwayParameters } from '../scheduling/policy';

/** Upper bound on the time between two decisions that one update takes into account. */
const maxUpdateGapMs = 1_000;

/** Computes the share for one service at one entry. */
export class SendAwayShare {
	private share = 0;
	private updatedMs: number | undefined;

	constructor(private readonly options: SendAwayParameters) {}

	/**
	 * Updates the share from the time that sending a request would save beyond the margin (negative when sending
	 * costs time) and returns it.
	 */
	update(savingMs: number, nowMs: number): number {
		const gapMs = Math.min(maxUpdateGapMs, nowMs - (this.updatedMs ?? nowMs));
		this.updatedMs = nowMs;
		const relativeSaving = Math.max(-1, Math.min(1, savingMs / this.options.fullRateSavingMs));
		const change = (relativeSaving * this.options.shareChangePerSecond * gapMs) / 1_000;
		this.share = Math.max(0, Math.min(1, this.share + change));
		return this.share;
	}
}
