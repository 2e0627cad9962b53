/**
 * How one attempt's answer came in: its head, its pieces, the longest time without one. A stream that has
 * begun can still be of no use to its caller, since an engine that reads long prompts gives running answers
 * a token only between two portions; such an answer looks like any other until it is late. These figures
 * tell a target that never answered from one that began and crawled.
 */

/** Measures one attempt; all times are monotonic milliseconds. */
export class AnswerPace {
	private headMs: number | undefined;
	private lastPieceMs: number | undefined;
	private pieceCount = 0;
	private longestGapMs = 0;

	constructor(private readonly startedMs: number) {}

	noteHead(nowMs: number): void {
		this.headMs = nowMs;
	}

	notePiece(nowMs: number): void {
		const beforeMs = this.lastPieceMs ?? this.headMs ?? this.startedMs;
		this.longestGapMs = Math.max(this.longestGapMs, nowMs - beforeMs);
		this.lastPieceMs = nowMs;
		this.pieceCount++;
	}

	/** For the log: whether the answer had begun, and how it went on. */
	describe(nowMs: number): string {
		if (this.headMs === undefined) {
			return `no answer in ${Math.round(nowMs - this.startedMs)} ms`;
		}
		const begun = `answer began after ${Math.round(this.headMs - this.startedMs)} ms`;
		if (this.lastPieceMs === undefined) {
			return `${begun}, no piece in ${Math.round(nowMs - this.headMs)} ms`;
		}
		const pieces = `${this.pieceCount} pieces, longest pause ${Math.round(this.longestGapMs)} ms`;
		return `${begun}, ${pieces}, last ${Math.round(nowMs - this.lastPieceMs)} ms ago`;
	}
}
