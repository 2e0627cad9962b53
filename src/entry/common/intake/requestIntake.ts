/**
 * Admission control for requests that have been read: limits how many start in one turn of the event loop and
 * refuses those that have waited too long.
 *
 * The runtime accepts at most one connection per listening socket in a turn of its event loop. If each turn also
 * started every request that it has read, a high rate of new connections to an entry short of processor time, for
 * example after a regional outage, would make turns long and fill the kernel's accept queue. Requests would be read
 * seconds after they were sent, mostly after their callers have disconnected, and the process could neither measure
 * nor bound that wait.
 *
 * Therefore at most one waiting request starts in a turn, and none in a turn that accepted a connection, up to a
 * maximum number of such turns in a row. Requests wait in this queue instead, where the wait is measured and bounded: a
 * short burst may wait longer than a standing queue. Requests whose callers have disconnected are removed before each
 * start.
 *
 * A request that would exceed its bound is refused as soon as that is known, so that its caller can retry elsewhere.
 * The wait is estimated from the number of requests ahead and the measured duration of turns that start a request.
 * Turns that only accept connections are left out: how many there will be isn't known, and an estimate that included
 * them would refuse bursts that can be served.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { TurnDurations } from './turnDurations';

/** Schedules callbacks on turns of the event loop. */
export interface ITurnScheduler {
	/** Calls `run` once, after the event loop has polled for I/O. */
	schedule(run: () => void): void;
}

/** Limits on the wait of a request for its start. */
export interface IntakeLimits {
	/** Longest wait while the queue has been non-empty for at most this time, in milliseconds. */
	readonly maxBurstWaitMs: number;
	/** Longest wait once the queue has been non-empty for more than `longestBurstWaitMs`, in milliseconds. */
	readonly maxStandingWaitMs: number;
	/** Maximum number of consecutive turns in which an accepted connection delays starts. */
	readonly maxConsecutiveAcceptTurns: number;
	/** Maximum number of requests refused in one turn. */
	readonly maxRefusalsPerTurn: number;
}

export const defaultIntakeLimits: IntakeLimits = {
	maxBurstWaitMs: 600,
	maxStandingWaitMs: 150,
	maxConsecutiveAcceptTurns: 16,
	maxRefusalsPerTurn: 4,
};

/** Records how long a request waited until it was started, refused or removed, in milliseconds. */
export type NoteWait = (waitedMs: number) => void;

/** Returns whether the caller has disconnected or cancelled the request. */
export type IsAbandoned = () => boolean;

interface WaitingCall {
	readonly enqueuedMs: number;
	/** When the start would be too late for the caller, in monotonic milliseconds. */
	readonly deadlineMs: number;
	readonly isAbandoned: IsAbandoned;
	readonly resolve: (result: Result<void, RequestError>) => void;
}

/** A waiting request that would exceed its bound. */
interface LateCall {
	readonly call: WaitingCall;
	/** Longest wait allowed, and the wait that is expected, in milliseconds from when it was queued. */
	readonly maxWaitMs: number;
	readonly expectedWaitMs: number;
}

/** Earliest and latest retry of a refused request, as shares of `maxBurstWaitMs`. */
const minRetryShare = 0.5;
const maxRetryShare = 1.5;

/** Queue of requests that have been read and wait to be started, shared by all servers of an entry. */
export class RequestIntake {
	private waiting: WaitingCall[] = [];
	private nonEmptySinceMs: number;
	private hasAcceptedConnection = false;
	private acceptedConnections = 0;
	private hasStartedRequest = false;
	private consecutiveAcceptTurns = 0;
	private isTurnScheduled = false;
	private readonly turnDurations = new TurnDurations();

	constructor(
		private readonly turnScheduler: ITurnScheduler,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
		private readonly noteWait: NoteWait,
		private readonly limits: IntakeLimits = defaultIntakeLimits,
	) {
		this.nonEmptySinceMs = timers.getNow();
	}

	/** Number of connections accepted so far. */
	get connectionCount(): number {
		return this.acceptedConnections;
	}

	/** Records an accepted connection, which delays starts because the accept queue may hold more. */
	noteConnection(): void {
		this.acceptedConnections++;
		this.hasAcceptedConnection = true;
		this.scheduleTurn();
	}

	/**
	 * Returns undefined if the request may start immediately. Otherwise the promise resolves to ok when the request
	 * may start, or to an error if it is refused or its caller has disconnected.
	 *
	 * @param deadlineMs when the start would be too late for the caller, in monotonic milliseconds
	 */
	admit(isAbandoned: IsAbandoned, deadlineMs: number): Promise<Result<void, RequestError>> | undefined {
		this.scheduleTurn();
		if (
			this.waiting.length === 0 &&
			!this.hasAcceptedConnection &&
			!this.hasStartedRequest &&
			!isAbandoned()
		) {
			this.hasStartedRequest = true;
			this.noteWait(0);
			return undefined;
		}
		const enqueuedMs = this.timers.getNow();
		if (this.waiting.length === 0) {
			this.nonEmptySinceMs = enqueuedMs;
			this.turnDurations.clear(enqueuedMs);
		}
		return new Promise(resolve => {
			this.waiting.push({ enqueuedMs, deadlineMs, isAbandoned, resolve });
		});
	}

	private scheduleTurn(): void {
		if (this.isTurnScheduled) {
			return;
		}
		this.isTurnScheduled = true;
		this.turnScheduler.schedule(() => {
			this.isTurnScheduled = false;
			this.handleTurn();
		});
	}

	private handleTurn(): void {
		const isAccepting =
			this.hasAcceptedConnection && this.consecutiveAcceptTurns < this.limits.maxConsecutiveAcceptTurns;
		this.turnDurations.noteTurn(this.timers.getNow(), this.hasAcceptedConnection);
		this.hasAcceptedConnection = false;
		this.hasStartedRequest = false;
		if (this.waiting.length === 0) {
			this.consecutiveAcceptTurns = 0;
			return;
		}
		this.scheduleTurn();
		this.removeAbandoned();
		this.refuseLate();
		if (isAccepting) {
			this.consecutiveAcceptTurns++;
			return;
		}
		this.consecutiveAcceptTurns = 0;
		this.startNext();
	}

	private removeAbandoned(): void {
		const abandoned = this.waiting.filter(call => call.isAbandoned());
		if (abandoned.length === 0) {
			return;
		}
		this.waiting = this.waiting.filter(call => !abandoned.includes(call));
		for (const call of abandoned) {
			this.finish(call, err(createRequestError(ErrorKind.CallerGone, 'the caller closed its connection')));
		}
	}

	/** Refuses requests that would wait too long, a limited number in one turn. */
	private refuseLate(): void {
		const late = this.listLate(this.timers.getNow()).slice(0, this.limits.maxRefusalsPerTurn);
		if (late.length === 0) {
			return;
		}
		const calls = new Set(late.map(({ call }) => call));
		this.waiting = this.waiting.filter(call => !calls.has(call));
		for (const refused of late) {
			this.finish(refused.call, err(this.createRefusal(refused)));
		}
	}

	private listLate(nowMs: number): LateCall[] {
		const late: LateCall[] = [];
		const startDurationMs = this.turnDurations.estimateStartMs();
		let startMs = nowMs;
		for (const call of this.waiting) {
			const maxWaitMs = this.getMaxWait(call, startMs);
			const expectedWaitMs = startMs - call.enqueuedMs;
			if (expectedWaitMs > maxWaitMs) {
				late.push({ call, maxWaitMs, expectedWaitMs });
			} else {
				startMs += startDurationMs;
			}
		}
		return late;
	}

	/** Starts the oldest request that is not late; late ones that remain are refused in later turns. */
	private startNext(): void {
		const nowMs = this.timers.getNow();
		const index = this.waiting.findIndex(call => nowMs - call.enqueuedMs <= this.getMaxWait(call, nowMs));
		if (index >= 0) {
			const [call] = this.waiting.splice(index, 1);
			this.hasStartedRequest = true;
			this.turnDurations.noteStart();
			this.finish(call, ok(undefined));
		}
	}

	private finish(call: WaitingCall | undefined, result: Result<void, RequestError>): void {
		if (call !== undefined) {
			this.noteWait(this.timers.getNow() - call.enqueuedMs);
			call.resolve(result);
		}
	}

	/** Returns the longest wait of a request that would start at the given time. */
	private getMaxWait({ enqueuedMs, deadlineMs }: WaitingCall, startMs: number): number {
		const { maxBurstWaitMs, maxStandingWaitMs } = this.limits;
		const isBurst = startMs - this.nonEmptySinceMs <= maxBurstWaitMs;
		return Math.min(isBurst ? maxBurstWaitMs : maxStandingWaitMs, deadlineMs - enqueuedMs);
	}

	private createRefusal({ maxWaitMs, expectedWaitMs }: LateCall): RequestError {
		const detail =
			`not started within ${Math.round(maxWaitMs)} ms, ` +
			`expected after ${Math.round(expectedWaitMs)} ms, ${this.waiting.length} waiting`;
		return createRequestError(ErrorKind.Overloaded, detail, { retryAfterMs: this.computeRetryAfterMs() });
	}

	/** Spreads retries over the time after the waiting requests have been started or refused. */
	private computeRetryAfterMs(): number {
		const { maxBurstWaitMs } = this.limits;
		const minMs = Math.max(this.estimateQueueMs(), maxBurstWaitMs * minRetryShare);
		return Math.round(minMs + (maxBurstWaitMs * maxRetryShare - minMs) * this.random.pickFraction());
	}

	/** Estimates when the waiting requests will have been started or refused, in milliseconds from now. */
	private estimateQueueMs(): number {
		const nowMs = this.timers.getNow();
		const { maxBurstWaitMs, maxStandingWaitMs } = this.limits;
		const maxMs = Math.max(maxStandingWaitMs, this.nonEmptySinceMs + maxBurstWaitMs - nowMs);
		return Math.min(maxMs, this.waiting.length * this.turnDurations.computeStartIntervalMs(nowMs));
	}
}
