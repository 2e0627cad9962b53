/**
 * The life of one target as one entry sees it. Four signs say that a target is leaving, and the earliest
 * wins: the instance list, the manifest, the target's own word and a peer's word. The list lags: it says
 * `live` for seconds after a target said that it is leaving, so `live` on the list never undoes a sign. If
 * it did, a target that shuts down would be taken out and put back at every reading of the list, seen as
 * requests that end with a connection reset during each planned stop.
 *
 * Each sign stands until the thing that it spoke of has changed, and then the target itself must accept: it
 * is first asked by a probe, on a new connection and without a caller's request.
 *
 * - any sign: a manifest newer than the one in force when the sign came says `live`, and the list does not
 *   say `leaving` at that time;
 * - the list's, the target's and a peer's: the list shows another boot, or the target again after a gap;
 * - the target's and a peer's: a time without the sign, see `LeavingSigns`. Without this way back, a target
 *   restarted in place under a manifest that does not change would stay out for good, and a rolling restart
 *   would end the service.
 */

import chartFile from '../../../../charts/target.json';
import { TypedChart, TypedStateMachine } from '../../charts/common/typedChart';
import type { BootId, ManifestVersion } from '../../ids/common/ids';
import { TargetIntent } from '../../manifest/common/manifest';
import { LeavingReason, LeavingReasons } from './leavingReasons';

export enum TargetState {
	Live = 'live',
	/** No connection could be opened lately, or it has not yet accepted after leaving. */
	Suspect = 'suspect',
	/** A probe is under way. */
	Trial = 'trial',
	Leaving = 'leaving',
	/** The manifest no longer names it. */
	Gone = 'gone',
}

export enum TargetEvent {
	Suspect = 'Suspect',
	Try = 'Try',
	Accept = 'Accept',
	Fail = 'Fail',
	Leave = 'Leave',
	/** No sign of leaving stands any more. */
	Clear = 'Clear',
	Remove = 'Remove',
}

export const targetChart = new TypedChart(chartFile, TargetState, TargetEvent);

/** What the instance list says of a target; undefined in its place means that the list does not name it. */
export interface ListedTarget {
	readonly isLeaving: boolean;
	readonly boot: BootId | undefined;
}

/** A change of state with what led to it. */
export interface TargetChange {
	readonly from: TargetState;
	readonly to: TargetState;
	readonly sign: string;
}

/** Connections that fail in a row before a target is suspected; one may be a lost packet. */
const suspectAfterFailures = 3;

const initialProbeDelayMs = 500;
const maxProbeDelayMs = 5_000;

/**
 * A server that answers probes for so long and closes every connection does so by habit: a stop does not
 * take longer, and without this end a server whose settings changed would stay out for good.
 */
const maxConnectionCloseMs = 600_000;

/**
 * One target's life. Every method takes the present time in monotonic milliseconds; those that note
 * something give the state that it led to.
 */
export class TargetLifecycle {
	private readonly stateMachine = new TypedStateMachine(targetChart);
	private readonly reasons = new LeavingReasons();
	private consecutiveFailures = 0;
	private probeDelayMs = initialProbeDelayMs;
	private probeDueMs = 0;
	private boot: BootId | undefined;
	private wasUnlisted = false;
	private hasKeptConnectionOpen = false;
	private closingSinceMs: number | undefined;
	private isListedLeaving = false;
	private manifestVersion: ManifestVersion | undefined;

	constructor(private readonly onDidChange: (change: TargetChange) => void) {}

	getState(): TargetState {
		return this.stateMachine.getState();
	}

	/** Whether it may be given requests. */
	isUsable(): boolean {
		return this.stateMachine.getState() === TargetState.Live;
	}

	/**
	 * Whether this entry has it from the target itself, and should tell its peers. A closed connection is
	 * not told: each entry sees its own, and one of them may be closed for its age alone.
	 */
	isSelfReportedLeaving(): boolean {
		return this.reasons.has(LeavingReason.SelfReport);
	}

	/** The manifest in force names the target; call for each accepted version. */
	noteManifest(intent: TargetIntent, version: ManifestVersion, nowMs: number): TargetState {
		const isNewer = this.manifestVersion === undefined || version > this.manifestVersion;
		this.manifestVersion = version;
		if (intent === TargetIntent.Leaving) {
			this.addReason(LeavingReason.Manifest, nowMs);
		} else if (isNewer) {
			this.reasons.clear(reason => reason !== LeavingReason.InstanceList || !this.isListedLeaving);
			this.clearIfNoReasons(`manifest v${version}`, nowMs);
		}
		return this.stateMachine.getState();
	}

	/** The manifest in force no longer names the target. */
	remove(version: ManifestVersion): void {
		this.applyEvent(TargetEvent.Remove, `manifest v${version}`);
	}

	/** The instance list arrived; it may be older than what is known. */
	noteListed(listed: ListedTarget | undefined, nowMs: number): TargetState {
		if (listed === undefined) {
			this.wasUnlisted = true;
			return this.stateMachine.getState();
		}
		const isOtherBoot = this.wasUnlisted || this.isOtherBoot(listed.boot);
		this.wasUnlisted = false;
		this.boot = listed.boot ?? this.boot;
		this.isListedLeaving = listed.isLeaving;
		if (listed.isLeaving) {
			this.addReason(LeavingReason.InstanceList, nowMs);
		} else if (isOtherBoot) {
			this.reasons.clear(reason => reason !== LeavingReason.Manifest);
			this.clearIfNoReasons(LeavingReason.InstanceList, nowMs);
		}
		return this.stateMachine.getState();
	}

	/** The target said on an answer that it is leaving. */
	noteSelfReport(nowMs: number): TargetState {
		return this.addReason(LeavingReason.SelfReport, nowMs);
	}

	/** A peer had it from the target that it is leaving; call for each of the peer's views that says so. */
	notePeerReport(nowMs: number): TargetState {
		return this.addReason(LeavingReason.PeerReport, nowMs);
	}

	/**
	 * An answer arrived without a word of leaving. A server that closes every connection says nothing by it:
	 * read as leaving, it would never be used, so the close counts only after an answer without one.
	 */
	noteAnswer(isClosing: boolean, nowMs: number): TargetState {
		this.consecutiveFailures = 0;
		if (!isClosing) {
			this.hasKeptConnectionOpen = true;
			this.closingSinceMs = undefined;
		} else if (this.hasKeptConnectionOpen) {
			this.closingSinceMs ??= nowMs;
			this.addReason(LeavingReason.ConnectionClose, nowMs);
		}
		return this.stateMachine.getState();
	}

	/** No connection could be opened, or the target died with requests in flight. */
	noteFailure(nowMs: number): TargetState {
		this.consecutiveFailures++;
		if (
			this.consecutiveFailures < suspectAfterFailures ||
			this.stateMachine.getState() !== TargetState.Live
		) {
			return this.stateMachine.getState();
		}
		this.hasKeptConnectionOpen = false;
		this.closingSinceMs = undefined;
		this.scheduleProbe(initialProbeDelayMs, nowMs);
		return this.applyEvent(TargetEvent.Suspect, `${this.consecutiveFailures} connections failed`);
	}

	/** When `startTrial` has something to do, or undefined. */
	getNextDueMs(): number | undefined {
		switch (this.stateMachine.getState()) {
			case TargetState.Suspect:
				return this.probeDueMs;
			case TargetState.Leaving:
				return this.reasons.findExpiryMs();
			default:
				return undefined;
		}
	}

	/** Whether a probe must be sent now; its end is told by `noteTrialAnswered` or `noteTrialFailed`. */
	startProbe(nowMs: number): boolean {
		this.reasons.expire(nowMs);
		this.clearIfNoReasons('time without a sign', nowMs);
		if (this.stateMachine.getState() !== TargetState.Suspect || nowMs < this.probeDueMs) {
			return false;
		}
		this.applyEvent(TargetEvent.Try, 'trial due');
		return true;
	}

	/**
	 * The probe was answered. A word of leaving on the answer is told by `noteOwnWord`, before this. A probe
	 * that asks for a connection to be closed gets a close that says nothing: let it ask to keep it open.
	 */
	noteProbeAnswered(isClosing: boolean, nowMs: number): TargetState {
		this.expireConnectionClose(nowMs);
		this.noteAnswer(isClosing, nowMs);
		if (this.stateMachine.getState() !== TargetState.Trial) {
			return this.stateMachine.getState();
		}
		this.reasons.noteReturned(nowMs);
		return this.applyEvent(TargetEvent.Accept, 'trial accepted');
	}

	/** The probe was not answered. */
	noteProbeFailed(nowMs: number): TargetState {
		if (this.stateMachine.getState() !== TargetState.Trial) {
			return this.stateMachine.getState();
		}
		this.scheduleProbe(Math.min(maxProbeDelayMs, this.probeDelayMs * 2), nowMs);
		return this.applyEvent(TargetEvent.Fail, 'trial failed');
	}

	private addReason(reason: LeavingReason, nowMs: number): TargetState {
		if (this.stateMachine.isEnded()) {
			return this.stateMachine.getState();
		}
		if (this.stateMachine.getState() !== TargetState.Leaving) {
			this.reasons.noteLeaving(nowMs);
		}
		this.reasons.add(reason, nowMs);
		return this.applyEvent(TargetEvent.Leave, reason);
	}

	private isOtherBoot(boot: BootId | undefined): boolean {
		return boot !== undefined && this.boot !== undefined && boot !== this.boot;
	}

	private clearIfNoReasons(sign: string, nowMs: number): void {
		if (!this.reasons.isEmpty() || this.stateMachine.getState() !== TargetState.Leaving) {
			return;
		}
		this.scheduleProbe(0, nowMs);
		this.applyEvent(TargetEvent.Clear, sign);
	}

	private expireConnectionClose(nowMs: number): void {
		if (this.closingSinceMs !== undefined && nowMs - this.closingSinceMs >= maxConnectionCloseMs) {
			this.hasKeptConnectionOpen = false;
			this.closingSinceMs = undefined;
		}
	}

	private scheduleProbe(delayMs: number, nowMs: number): void {
		this.probeDelayMs = Math.max(initialProbeDelayMs, delayMs);
		this.probeDueMs = nowMs + delayMs;
	}

	private applyEvent(event: TargetEvent, sign: string): TargetState {
		const from = this.stateMachine.getState();
		if (this.stateMachine.accept(event)) {
			this.onDidChange({ from, to: this.stateMachine.getState(), sign });
		}
		return this.stateMachine.getState();
	}
}
