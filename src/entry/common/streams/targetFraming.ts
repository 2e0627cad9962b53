/**
 * Which targets of a service send streams without framing. Only the end of an answer with framing proves that a stream is
 * whole, so a target that sends none can't confirm the end of another one: where several of them break streams off after
 * the same event, the second would pass for the proof of the first.
 */

import type { TargetId } from '../../../core/ids/common/ids';

/** Share of the targets seen that has to send framing for a resumed stream to be likely to get one of them. */
const minLikelyShare = 0.45;

/** Follows the targets of one service at this entry (proxy process). */
export class TargetFraming {
	/** Whether the last stream of each target that has sent one had framing. */
	private readonly lastFramings = new Map<TargetId, boolean>();

	/** Records the head of a stream. */
	noteHead(target: TargetId, isFramed: boolean): void {
		this.lastFramings.set(target, isFramed);
	}

	/** Drops the targets that are no longer in use. */
	setTargets(targets: readonly TargetId[]): void {
		const used = new Set(targets);
		for (const target of this.lastFramings.keys()) {
			if (!used.has(target)) {
				this.lastFramings.delete(target);
			}
		}
	}

	/** Whether the next stream of a target is expected to have framing. It is until the target sends one without. */
	isFramed(target: TargetId): boolean {
		return this.lastFramings.get(target) !== false;
	}

	/** Whether a stream that is resumed is likely to get a target that sends framing. */
	isLikely(): boolean {
		const framings = [...this.lastFramings.values()];
		const framed = framings.filter(isFramed => isFramed).length;
		return framed > 0 && framed / framings.length >= minLikelyShare;
	}
}
