/**
 * Delays the start of requests while the event loop is behind, until it has read its sockets once more.
 *
 * A process short of processor time reads everything late. After a turn of two seconds, a timer or the end of another
 * request starts a waiting request although the caller has closed its connection a second ago: the close is readable,
 * but its socket is read later in the turn or, if the request itself was read in this turn, in the next one. The target
 * then begins to work for nobody. Starting after one more poll lets the closes go first.
 *
 * The runtime accepts one connection per listening socket in a turn, so requests that arrived during a long turn are read
 * over as many turns as there are connections. The lag therefore lasts until a turn has accepted none.
 */

import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { ITurnScheduler } from './requestIntake';

/** Delays starts while the event loop is behind. */
export interface IStartGate {
	/**
	 * Calls `start` immediately, or once the sockets have been read again if the event loop is behind. Starts run in the
	 * order of the calls.
	 */
	run(start: () => void): void;
}

/** Tells how long what is being read may have waited. */
export interface ILoopLag {
	/** Records an accepted connection, which shows that requests of other connections may not have been read yet. */
	noteConnection(): void;
	/** Returns 0 while the event loop keeps up, and otherwise how far it is behind, in milliseconds. */
	getLagMs(): number;
}

/** Interval at which a timer shows whether the event loop is behind or the process was suspended. */
export const checkIntervalMs = 250;
/** A timer that is late by more than this shows that the event loop is behind. */
export const maxLagMs = 100;
/** Bounds the time for which connections that arrive at a high rate after the lag are taken for late ones. */
const maxAcceptTurns = 64;

/** Measures the lag of the event loop by a timer. */
export class LoopLagGate extends Disposable implements IStartGate, ILoopLag {
	private lastTickMs: number;
	/** 0 if the event loop keeps up. */
	private lagMs = 0;
	private readonly waiting: (() => void)[] = [];
	private isStarting = false;
	private hasAcceptedConnection = false;
	private acceptTurns = 0;

	constructor(
		private readonly turnScheduler: ITurnScheduler,
		private readonly timers: ITimerService,
	) {
		super();
		this.lastTickMs = timers.getNow();
		this.register(
			subscribeTo(timers.watchTicks(checkIntervalMs), ({ nowMs }) => {
				this.checkLag();
				this.lastTickMs = nowMs;
			}),
		);
	}

	noteConnection(): void {
		this.hasAcceptedConnection = true;
	}

	getLagMs(): number {
		this.checkLag();
		return this.lagMs;
	}

	run(start: () => void): void {
		// A start may pass the gate again, and the sockets have been read for it.
		if (this.isStarting || (this.waiting.length === 0 && this.getLagMs() === 0)) {
			start();
			return;
		}
		// Each start waits for a poll of its own: one that is in progress may have read the request but not a later close.
		this.waiting.push(start);
		this.waitForPoll(() => {
			this.startNext();
		});
	}

	private checkLag(): void {
		const lagMs = this.timers.getNow() - this.lastTickMs - checkIntervalMs;
		if (lagMs <= maxLagMs) {
			return;
		}
		if (this.lagMs === 0) {
			this.hasAcceptedConnection = false;
			this.acceptTurns = 0;
			this.waitForPoll(() => {
				this.clearLag();
			});
		}
		this.lagMs = Math.max(this.lagMs, lagMs);
	}

	/** Clears the lag, or checks again in the next turn if this one has accepted a connection. */
	private clearLag(): void {
		const isAccepting = this.hasAcceptedConnection && this.acceptTurns < maxAcceptTurns;
		this.hasAcceptedConnection = false;
		if (!isAccepting) {
			this.lagMs = 0;
			return;
		}
		this.acceptTurns++;
		this.turnScheduler.schedule(() => {
			this.clearLag();
		});
	}

	private startNext(): void {
		this.isStarting = true;
		this.waiting.shift()?.();
		this.isStarting = false;
	}

	/** The first of the two callbacks may follow a poll that has begun already. */
	private waitForPoll(run: () => void): void {
		this.turnScheduler.schedule(() => {
			this.turnScheduler.schedule(run);
		});
	}
}

/** The event loop of a process that always keeps up. */
export const noLoopLag: ILoopLag = { noteConnection: () => undefined, getLagMs: () => 0 };
