/**
 * Simulates the continuous batching of a model engine. In each step every running sequence processes a part of its
 * prompt or generates one token, and a step takes longer the more sequences run. Sequences without a free slot wait,
 * ordered by request class and then by arrival. A sequence whose client reads slowly keeps its slot but generates no
 * tokens in the meantime.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { RequestClass } from '../../core/requests/common/requestClass';
import { requestClasses } from '../../core/requests/common/requestClass';

/** Processing times of the simulated engine, in milliseconds. */
export interface BatchTiming {
	readonly tokenMs: number;
	readonly tokenMsPerRunning: number;
	readonly prefillMsPerToken: number;
}

/** A sequence to run, with its callbacks. */
export interface SequenceRequest {
	readonly requestClass: RequestClass;
	readonly maxTokens: number;
	/** Called when the sequence gets a slot. Returns the number of prompt tokens to process before the first token. */
	readonly handleStart: () => number;
	/** Called for each generated token, with an index that starts at 0. */
	readonly handleToken: (index: number) => void;
	/** Called once, after the last token. */
	readonly handleEnd: () => void;
}

/** Controls a submitted sequence. Disposing the handle cancels the sequence. */
export interface SequenceHandle extends IDisposable {
	/** Pauses token generation while the client has not read the earlier tokens, or resumes it. */
	setPaused(isPaused: boolean): void;
}

/** The load of a target: its running and waiting requests and its slots. */
export interface TargetLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
}

interface Sequence {
	readonly request: SequenceRequest;
	readonly sequenceNumber: number;
	remainingPrefillMs: number;
	/** Number of tokens generated so far. */
	tokens: number;
	isPaused: boolean;
}

function comparePriority(left: Sequence, right: Sequence): number {
	const byClass =
		requestClasses.indexOf(left.request.requestClass) - requestClasses.indexOf(right.request.requestClass);
	return byClass || left.sequenceNumber - right.sequenceNumber;
}

/** Runs sequences in steps that are scheduled on the timer service. */
export class ContinuousBatch implements IDisposable {
	private readonly running = new Set<Sequence>();
	private waiting: Sequence[] = [];
	private nextSequenceNumber = 0;
	/** The scheduled end of the current step. */
	private step: IDisposable | undefined;
	private slowFactor = 1;

	constructor(
		private readonly slots: number,
		private readonly timing: BatchTiming,
		private readonly timers: ITimerService,
		/** Called after each change of the number of running or waiting sequences. */
		private readonly onDidChangeLoad: (load: TargetLoad) => void = () => undefined,
	) {}

	getLoad(): TargetLoad {
		return { running: this.running.size, waiting: this.waiting.length, slots: this.slots };
	}

	/** Multiplies the duration of all later steps. */
	setSlowFactor(factor: number): void {
		this.slowFactor = factor;
	}

	submit(request: SequenceRequest): SequenceHandle {
		const sequence: Sequence = {
			request,
			sequenceNumber: this.nextSequenceNumber++,
			remainingPrefillMs: 0,
			tokens: 0,
			isPaused: false,
		};
		this.waiting.push(sequence);
		this.waiting.sort(comparePriority);
		this.admitWaiting();
		const cancellation = toDisposable(() => {
			this.removeSequence(sequence);
		});
		return {
			setPaused: isPaused => {
				sequence.isPaused = isPaused;
				this.scheduleStep();
			},
			dispose: () => {
				cancellation.dispose();
			},
		};
	}

	/** Removes all sequences without calling their callbacks. */
	dispose(): void {
		this.step?.dispose();
		this.step = undefined;
		this.running.clear();
		this.waiting = [];
		this.onDidChangeLoad(this.getLoad());
	}

	private admitWaiting(): void {
		while (this.running.size < this.slots) {
			const next = this.waiting.shift();
			if (next === undefined) {
				break;
			}
			next.remainingPrefillMs = next.request.handleStart() * this.timing.prefillMsPerToken;
			this.running.add(next);
		}
		this.onDidChangeLoad(this.getLoad());
		this.scheduleStep();
	}

	private removeSequence(sequence: Sequence): void {
		this.waiting = this.waiting.filter(other => other !== sequence);
		this.running.delete(sequence);
		this.admitWaiting();
	}

	/**
	 * Schedules the next step, unless one is already scheduled or no running sequence can generate a token. A
	 * sequence that gets a slot during a step takes part from the next step on.
	 */
	private scheduleStep(): void {
		const members = [...this.running].filter(sequence => !sequence.isPaused);
		if (this.step !== undefined || members.length === 0) {
			return;
		}
		const stepMs = this.timing.tokenMs + this.timing.tokenMsPerRunning * (members.length - 1);
		this.step = this.timers.schedule(stepMs * this.slowFactor, () => {
			this.step = undefined;
			for (const sequence of members) {
				this.advanceSequence(sequence, stepMs);
			}
			this.admitWaiting();
		});
	}

	private advanceSequence(sequence: Sequence, stepMs: number): void {
		if (sequence.isPaused || !this.running.has(sequence)) {
			return;
		}
		if (sequence.remainingPrefillMs > 0) {
			sequence.remainingPrefillMs -= stepMs;
			return;
		}
		if (sequence.tokens < sequence.request.maxTokens) {
			sequence.request.handleToken(sequence.tokens++);
		}
		if (sequence.tokens >= sequence.request.maxTokens) {
			this.running.delete(sequence);
			sequence.request.handleEnd();
		}
	}
}
