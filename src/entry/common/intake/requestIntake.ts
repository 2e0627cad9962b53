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
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { IRandom } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';

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
	readonly isAbandoned: IsAbandoned;
	readonly resolve: (result: Result<void, RequestError>) => void;
}

/** Retry delays of refused requests are uniform between 0.5 and 1.5 times `longestBurstWaitMs`. */
const minRetryFactor = 0.5;

/** Queue of requests that have been read and wait to be started, shared by all servers of an entry. */
export class RequestIntake {
	private waiting: WaitingCall[] = [];
	private nonEmptySinceMs: number;
	private hasAcceptedConnection = false;
	private acceptedConnections = 0;
	private hasStartedRequest = false;
	private consecutiveAcceptTurns = 0;
	private isTurnScheduled = false;

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
	 */
	admit(isAbandoned: IsAbandoned): Promise<Result<void, RequestError>> | undefined {
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
		}
		return new Promise(resolve => {
			this.waiting.push({ enqueuedMs, isAbandoned, resolve });
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
		this.hasAcceptedConnection = false;
		this.hasStartedRequest = false;
		if (this.waiting.length === 0) {
			this.consecutiveAcceptTurns = 0;
			return;
		}
		this.scheduleTurn();
		if (isAccepting) {
			this.consecutiveAcceptTurns++;
			return;
		}
		this.consecutiveAcceptTurns = 0;
		this.removeAbandoned();
		this.refuseLate();
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

	private refuseLate(): void {
		const nowMs = this.timers.getNow();
		const maxWaitMs = this.getMaxWait(nowMs);
		const isLate = (call: WaitingCall | undefined): boolean =>
			call !== undefined && nowMs - call.enqueuedMs > maxWaitMs;
		for (let count = 0; count < this.limits.maxRefusalsPerTurn && isLate(this.waiting[0]); count++) {
			this.finish(this.waiting.shift(), err(this.createRefusal(maxWaitMs)));
		}
	}

	/** Starts the oldest request that is not late; late ones that remain are refused in later turns. */
	private startNext(): void {
		const nowMs = this.timers.getNow();
		const maxWaitMs = this.getMaxWait(nowMs);
		const index = this.waiting.findIndex(call => nowMs - call.enqueuedMs <= maxWaitMs);
		if (index >= 0) {
			const [call] = this.waiting.splice(index, 1);
			this.hasStartedRequest = true;
			this.finish(call, ok(undefined));
		}
	}

	private finish(call: WaitingCall | undefined, result: Result<void, RequestError>): void {
		if (call !== undefined) {
			this.noteWait(this.timers.getNow() - call.enqueuedMs);
			call.resolve(result);
		}
	}

	private getMaxWait(nowMs: number): number {
		const { maxBurstWaitMs, maxStandingWaitMs } = this.limits;
		return nowMs - this.nonEmptySinceMs <= maxBurstWaitMs ? maxBurstWaitMs : maxStandingWaitMs;
	}

	private createRefusal(maxWaitMs: number): RequestError {
		const { maxBurstWaitMs } = this.limits;
		const retryAfterMs = Math.round(maxBurstWaitMs * (minRetryFactor + this.random.pickFraction()));
		const detail = `not started within ${maxWaitMs} ms, ${this.waiting.length} waiting`;
		return createRequestError(ErrorKind.Overloaded, detail, { retryAfterMs });
	}
}
