/**
 * Whether the bytes of an answer that its caller has may be the whole of it, although nothing shows it: the connection of a
 * target without framing ended after them.
 */

/** Whether an uncertain end may be passed on to a caller that expects one. */
export type IsEndAcceptable = () => boolean;

enum EndState {
	/** No target has ended the answer here. */
	None,
	/** The connection of the last target ended here. */
	Open,
	/** The connection of another target that was to go on has ended as well, without more bytes. */
	Repeated,
	/** A target had more to send. */
	Refuted,
}

/** Follows the uncertain ends of one answer over its attempts. */
export class OpenEnd {
	private state = EndState.None;
	private isAcceptableNow: IsEndAcceptable = () => true;

	/**
	 * Records that the connection of the current target ended the answer.
	 *
	 * @param isAcceptable Asked when no other target can confirm the end.
	 */
	noteEnd(isAcceptable: IsEndAcceptable = () => true): void {
		this.isAcceptableNow = isAcceptable;
		this.state = this.state === EndState.Open ? EndState.Repeated : EndState.Open;
	}

	/** Records that a target sends more. */
	noteMoreBytes(): void {
		if (this.isOpen()) {
			this.state = EndState.Refuted;
		}
	}

	/** Records that the target crashed, which ended the answer early. */
	noteCrash(): void {
		this.state = EndState.Refuted;
	}

	isOpen(): boolean {
		return this.state === EndState.Open || this.state === EndState.Repeated;
	}

	/** Whether a second target has ended the answer where the one before it did. */
	isRepeated(): boolean {
		return this.state === EndState.Repeated;
	}

	isRefuted(): boolean {
		return this.state === EndState.Refuted;
	}

	/** Whether the answer may end here, as far as it is known, for a caller that expects an uncertain end. */
	isAcceptable(): boolean {
		return this.isOpen() && this.isAcceptableNow();
	}
}
