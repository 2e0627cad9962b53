/**
 * Measures how the answer to one attempt arrives: its head, its chunks and the longest gap without a chunk.
 * An answer that has begun can still be too late for its caller, because an inference engine that processes
 * long prompts generates tokens for running answers only between two portions of a prompt. Until the
 * deadline passes, such an answer looks like any other. These figures distinguish a target that never
 * answered from one that began to answer and then became slow.
 */

/** Measures one attempt. All times are in milliseconds of a monotonic clock. */
export class AnswerPace {
	private headMs: number | undefined;
	private lastChunkMs: number | undefined;
	private chunkCount = 0;
	private longestGapMs = 0;

	constructor(private readonly startedMs: number) {}

	recordHead(nowMs: number): void {
		this.headMs = nowMs;
	}

	recordChunk(nowMs: number): void {
		const previousMs = this.lastChunkMs ?? this.headMs ?? this.startedMs;
		this.longestGapMs = Math.max(this.longestGapMs, nowMs - previousMs);
		this.lastChunkMs = nowMs;
		this.chunkCount++;
	}

	/** Describes for the log whether the answer had begun and how it continued. */
	describe(nowMs: number): string {
		if (this.headMs === undefined) {
			return `no answer in ${Math.round(nowMs - this.startedMs)} ms`;
		}
		const begun = `answer began after ${Math.round(this.headMs - this.startedMs)} ms`;
		if (this.lastChunkMs === undefined) {
			return `${begun}, no chunk in ${Math.round(nowMs - this.headMs)} ms`;
		}
		const chunks = `${this.chunkCount} chunks, longest gap ${Math.round(this.longestGapMs)} ms`;
		return `${begun}, ${chunks}, last ${Math.round(nowMs - this.lastChunkMs)} ms ago`;
	}
}
