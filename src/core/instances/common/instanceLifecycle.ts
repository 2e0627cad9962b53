/**
 * The life of one start of one entry instance as another sees it. A start that has said that it is leaving
 * never comes back: what could come back is another start, which has a life of its own. Silence alone
 * never means that an instance is dead, since a partition looks the same from here; it is `suspect`, gets
 * no new callers, and tickets that it issued are still forwarded to it.
 *
 * The instance list names instances, not their starts, and it lags: `leaving` on it may mean the start
 * before this one. If that stuck, an instance restarted in place would stay out until its next restart. So
 * the list's word holds only for as long as the list says it, and its own word for good.
 */

import chartFile from '../../../../charts/instance.json';
import { TypedChart, TypedStateMachine } from '../../charts/common/typedChart';

export enum InstanceState {
	Live = 'live',
	/** Nothing was heard of it lately. */
	Suspect = 'suspect',
	/** The list alone says that it is leaving. */
	ListedLeaving = 'listedLeaving',
	/** It said itself that it is leaving. */
	Leaving = 'leaving',
	/** Nothing was heard of it for long. */
	Gone = 'gone',
}

export enum InstanceEvent {
	Hear = 'Hear',
	Miss = 'Miss',
	ListLeaving = 'ListLeaving',
	ListLive = 'ListLive',
	Leave = 'Leave',
	Forget = 'Forget',
}

export const instanceChart = new TypedChart(chartFile, InstanceState, InstanceEvent);

/** How long an instance may be silent, in milliseconds. */
export interface SilenceTimeouts {
	readonly suspectAfterMs: number;
	readonly removeAfterMs: number;
}

/** A change of state with what led to it. */
export interface InstanceChange {
	readonly from: InstanceState;
	readonly to: InstanceState;
	readonly sign: string;
}

/** One start's life; times are monotonic milliseconds of the process that keeps it. */
export class InstanceLifecycle {
	private readonly stateMachine = new TypedStateMachine(instanceChart);

	constructor(
		private lastReportMs: number,
		private readonly timeouts: SilenceTimeouts,
		private readonly onDidChange: (change: InstanceChange) => void,
	) {}

	getState(): InstanceState {
		return this.stateMachine.getState();
	}

	/** When it was last known to speak. */
	getLastReportMs(): number {
		return this.lastReportMs;
	}

	/** It spoke at `spokeMs`, which lies back by the age of the view that tells it. */
	noteReport(reportedMs: number, isLeaving: boolean, sign: string): void {
		if (reportedMs > this.lastReportMs) {
			this.lastReportMs = reportedMs;
			this.applyEvent(InstanceEvent.Hear, sign);
		}
		if (isLeaving) {
			this.applyEvent(InstanceEvent.Leave, sign);
		}
	}

	/** The instance list arrived. Live again on it is `suspect` until the next word of its own. */
	noteListed(isLeaving: boolean): void {
		this.applyEvent(isLeaving ? InstanceEvent.ListLeaving : InstanceEvent.ListLive, 'instance list');
	}

	/** The process that keeps this life slept: what was not heard meanwhile does not count as silence. */
	noteProcessPause(pausedMs: number): void {
		this.lastReportMs += pausedMs;
	}

	/** Judges its silence. */
	expire(nowMs: number): void {
		const silentMs = nowMs - this.lastReportMs;
		if (silentMs >= this.timeouts.removeAfterMs) {
			this.applyEvent(InstanceEvent.Forget, `silent for ${Math.round(silentMs)} ms`);
		} else if (silentMs >= this.timeouts.suspectAfterMs) {
			this.applyEvent(InstanceEvent.Miss, `silent for ${Math.round(silentMs)} ms`);
		}
	}

	/** Another start of the instance answers at its address, so this one has ended. */
	end(sign: string): void {
		this.applyEvent(InstanceEvent.Forget, sign);
	}

	private applyEvent(event: InstanceEvent, sign: string): void {
		const from = this.stateMachine.getState();
		if (this.stateMachine.accept(event)) {
			this.onDidChange({ from, to: this.stateMachine.getState(), sign });
		}
	}
}
