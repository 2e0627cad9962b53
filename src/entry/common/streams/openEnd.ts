/**
 * Whether the bytes of an answer that its caller has may be the whole of it, although nothing shows it: the connection of a
 * target without framing ended after them.
 */

import type { EndEvidence } from './unframedEnds';

/** Whether an uncertain end may be passed on to a caller that expects one. */
export type IsEndAcceptable = () => boolean;

enum EndState {
	/** No target has ended the answer here. */
	None,
	/** The connections of one or more targets ended here. */
	Open,
	/** A target had more to send. */
	Refuted,
}

/** Follows the uncertain ends of one answer over its attempts. */
export class OpenEnd {
	private state = EndState.None;
	private isAcceptableNow: IsEndAcceptable = () => false;
	private handleRefuted: (() => void) | undefined;
	/** Names of the targets that ended the answer here, or stand-ins for those that other entries don't name. */
	private readonly endedTargets = new Set<string | symbol>();
	private unnamedEnd: symbol | undefined;
	private hasConfirmationFailed = false;
	private isInterrupted = false;

	/**
	 * Records that the connection of the current target ended the answer.
	 *
	 * @param isAcceptable Asked when no other target can confirm the end.
	 */
	noteEnd(isAcceptable: IsEndAcceptable): void {
		if (!this.isOpen()) {
			this.endedTargets.clear();
			this.hasConfirmationFailed = false;
		}
		this.isAcceptableNow = isAcceptable;
		this.state = EndState.Open;
		this.unnamedEnd = Symbol('target');
		this.endedTargets.add(this.unnamedEnd);
	}

	/** Names the target whose end was recorded last, so that it does not count again for the same end. */
	setEndedTarget(target: string): void {
		if (this.unnamedEnd !== undefined) {
			this.endedTargets.delete(this.unnamedEnd);
			this.endedTargets.add(target);
			this.unnamedEnd = undefined;
		}
	}

	/** Sets what decides whether the end may be passed on, and what to do once a target sends more. */
	watch(isAcceptable: IsEndAcceptable, handleRefuted: () => void): void {
		this.isAcceptableNow = isAcceptable;
		this.handleRefuted = handleRefuted;
	}

	/** Records that a target sends more. */
	noteMoreBytes(): void {
		if (this.isOpen()) {
			this.state = EndState.Refuted;
			this.handleRefuted?.();
		}
	}

	/** Records that a target broke the answer off visibly. */
	noteInterrupted(): void {
		this.isInterrupted = true;
	}

	/** Records that the target crashed, which ended the answer early. */
	noteCrash(): void {
		this.state = EndState.Refuted;
		this.noteInterrupted();
	}

	/** Records that a target that was to go on failed without sending more. */
	noteConfirmationFailed(): void {
		this.hasConfirmationFailed = true;
	}

	isOpen(): boolean {
		return this.state === EndState.Open;
	}

	/**
	 * @param isVersionUnknown Whether the version that began the answer is not known.
	 * @param isProofLikely Whether a resumed answer is likely to get a target that sends framing.
	 */
	getEvidence(isVersionUnknown: boolean, isProofLikely: boolean): EndEvidence {
		const { hasConfirmationFailed, isInterrupted, endedTargets, unnamedEnd } = this;
		return {
			endedTargets: endedTargets.size,
			hasConfirmationFailed,
			isInterrupted,
			isVersionUnknown,
			isAcceptedElsewhere: unnamedEnd !== undefined,
			isProofLikely,
		};
	}

	/** Whether the answer may end here, as far as it is known, for a caller that expects an uncertain end. */
	isAcceptable(): boolean {
		return this.isOpen() && this.isAcceptableNow();
	}
}
