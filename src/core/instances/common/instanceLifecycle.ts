/**
 * Lifecycle of one boot (one start of the process) of another entry instance, as this process sees it. A boot that has
 * announced that it is leaving never becomes live again; a restarted instance has another boot with its own lifecycle.
 * Missing reports alone do not prove that an instance is down, since a network partition looks the same. Such an
 * instance is `suspect` and gets no new callers, but tickets that it issued are still forwarded to it.
 *
 * The instance list contains instances, not boots, and it lags: `leaving` in the list may refer to the previous boot. If
 * this state were permanent, an instance restarted in place would get no callers until its next restart. The state in
 * the list therefore applies only while the list contains it, whereas an instance's own announcement is final.
 */

import chartFile from '../../../../charts/instance.json';
import { TypedChart, TypedStateMachine } from '../../charts/common/typedChart';

export enum InstanceState {
	Live = 'live',
	/** No recent report was received. */
	Suspect = 'suspect',
	/** Only the instance list marks the instance as leaving. */
	ListedLeaving = 'listedLeaving',
	/** The instance announced that it is leaving. */
	Leaving = 'leaving',
	/** The boot was replaced, or no report was received for a long time. */
	Gone = 'gone',
}

export enum InstanceEvent {
	/** A report was received. */
	Hear = 'Hear',
	/** No report was received for `suspectAfterMs`. */
	Miss = 'Miss',
	ListLeaving = 'ListLeaving',
	ListLive = 'ListLive',
	Leave = 'Leave',
	/** The boot was replaced, or no report was received for `removeAfterMs`. */
	Forget = 'Forget',
}

export const instanceChart = new TypedChart(chartFile, InstanceState, InstanceEvent);

/** Times without a report after which an instance changes its state, in milliseconds. */
export interface SilenceTimeouts {
	readonly suspectAfterMs: number;
	readonly removeAfterMs: number;
}

/** A change of state with its cause. */
export interface InstanceChange {
	readonly from: InstanceState;
	readonly to: InstanceState;
	/** What caused the change, for the audit trail. */
	readonly sign: string;
}

/** State machine of one boot; times are monotonic milliseconds of this process. */
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

	/** When the instance created its latest known report. */
	getLastReportMs(): number {
		return this.lastReportMs;
	}

	/** Applies a report that the instance created at `reportedMs`, which is before now by the age of the report. */
	noteReport(reportedMs: number, isLeaving: boolean, sign: string): void {
		if (reportedMs > this.lastReportMs) {
			this.lastReportMs = reportedMs;
			this.applyEvent(InstanceEvent.Hear, sign);
		}
		if (isLeaving) {
			this.applyEvent(InstanceEvent.Leave, sign);
		}
	}

	/** Applies the state in the instance list. An instance listed as live again is `suspect` until its next report. */
	noteListed(isLeaving: boolean): void {
		this.applyEvent(isLeaving ? InstanceEvent.ListLeaving : InstanceEvent.ListLive, 'instance list');
	}

	/** Excludes a pause of this process, in which it could not receive reports, from the time without a report. */
	noteProcessPause(pausedMs: number): void {
		this.lastReportMs += pausedMs;
	}

	/** Applies the timeouts for missing reports. */
	expire(nowMs: number): void {
		const silentMs = nowMs - this.lastReportMs;
		if (silentMs >= this.timeouts.removeAfterMs) {
			this.applyEvent(InstanceEvent.Forget, `silent for ${Math.round(silentMs)} ms`);
		} else if (silentMs >= this.timeouts.suspectAfterMs) {
			this.applyEvent(InstanceEvent.Miss, `silent for ${Math.round(silentMs)} ms`);
		}
	}

	/** Ends the lifecycle, for example because another boot of the instance uses the same address. */
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
