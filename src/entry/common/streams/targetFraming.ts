/**
 * Which targets of a service send streams without framing. Only the end of an answer with framing proves that a stream is
 * whole, so a target that sends none can't confirm the end of another one: where several of them break streams off after
 * the same event, the second would pass for the proof of the first.
 */

import type { TargetId } from '../../../core/ids/common/ids';

/** Follows the targets of one service at this entry (proxy process). */
export class TargetFraming {
	private readonly unframed = new Set<TargetId>();

	/** Records the head of a stream. */
	noteHead(target: TargetId, isFramed: boolean): void {
		if (isFramed) {
			this.unframed.delete(target);
		} else {
			this.unframed.add(target);
		}
	}

	/** Drops the targets that are no longer in use. */
	setTargets(targets: readonly TargetId[]): void {
		const used = new Set(targets);
		for (const target of this.unframed) {
			if (!used.has(target)) {
				this.unframed.delete(target);
			}
		}
	}

	/** Whether the next stream of a target is expected to have framing. It is until the target sends one without. */
	isFramed(target: TargetId): boolean {
		return !this.unframed.has(target);
	}
}
