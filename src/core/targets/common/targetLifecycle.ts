/**
 * Lifecycle of one target as one entry sees it. A target counts as leaving as soon as one of these reports it: the
 * instance list, the manifest, the target itself, a peer, or a closed connection. The list lags: it contains `live` for
 * seconds after a target announced that it is leaving, so `live` in the list never removes a reason. Otherwise a target
 * that shuts down would be removed and used again with every read of the list, and requests would end with a connection
 * reset during each planned stop.
 *
 * A reason applies until its source has changed. The target must then accept a probe, which is sent on a new connection
 * and without a caller's request, before it is used again. Reasons are removed as follows:
 *
 * - any reason: a manifest newer than the one in force when the reason was added contains `live`; the reason of the
 *   instance list remains while the list contains `leaving`;
 * - all reasons except the manifest: the list contains another boot, or the target again after it was missing;
 * - reports of the target or a peer and closed connections: expiry after a time without a repetition, see
 *   `LeavingReasons`. Without this expiry, a target restarted in place while the manifest does not change would stay
 *   unavailable, and a rolling restart would make the whole service unavailable.
 */

import chartFile from '../../../../charts/target.json';
import { TypedChart, TypedStateMachine } from '../../charts/common/typedChart';
import type { BootId, ManifestVersion } from '../../ids/common/ids';
import { TargetIntent } from '../../manifest/common/manifest';
import { LeavingReason, LeavingReasons } from './leavingReasons';

export enum TargetState {
	Live = 'live',
	/** Recent connections failed, or the target has not accepted a probe since it was leaving. */
	Suspect = 'suspect',
	/** A probe is in progress. */
	Trial = 'trial',
	Leaving = 'leaving',
	/** The manifest no longer contains the target. */
	Gone = 'gone',
}

export enum TargetEvent {
	Suspect = 'Suspect',
	/** A probe was started. */
	Try = 'Try',
	/** The probe succeeded. */
	Accept = 'Accept',
	/** The probe failed. */
	Fail = 'Fail',
	Leave = 'Leave',
	/** No reason for leaving applies any more. */
	Clear = 'Clear',
	Remove = 'Remove',
}

export const targetChart = new TypedChart(chartFile, TargetState, TargetEvent);

/** A target's entry in the instance list; undefined is used for a target that is not in the list. */
export interface ListedTarget {
	readonly isLeaving: boolean;
	readonly boot: BootId | undefined;
}

/** A change of state with its cause. */
export interface TargetChange {
	readonly from: TargetState;
	readonly to: TargetState;
	/** What caused the change, for the audit trail. */
	readonly sign: string;
}

/** Number of consecutive failed connections after which a target is suspect; a single one may be a lost packet. */
const suspectAfterFailures = 3;

const initialProbeDelayMs = 500;
const maxProbeDelayMs = 5_000;

/**
 * A server that answers probes and closes every connection for this long is configured to do so: no stop takes this
 * long. Without this limit, a server whose configuration changed would stay unavailable.
 */
const maxConnectionCloseMs = 600_000;

/**
 * State machine of one target. Times are monotonic milliseconds; methods that record an event return the resulting
 * state.
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

	/** Whether the target may receive requests. */
	isUsable(): boolean {
		return this.stateMachine.getState() === TargetState.Live;
	}

	/**
	 * Whether the target itself reported to this entry that it is leaving; this is shared with peers. Closed
	 * connections are not shared: each entry has its own, and one may be closed because of its age.
	 */
	isSelfReportedLeaving(): boolean {
		return this.reasons.has(LeavingReason.SelfReport);
	}

	/** Applies the target's intent in the manifest in force; call for each accepted version. */
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

	/** Ends the lifecycle because the manifest in force no longer contains the target. */
	remove(version: ManifestVersion): void {
		this.applyEvent(TargetEvent.Remove, `manifest v${version}`);
	}

	/** Applies an instance list, which may be older than other information about the target. */
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

	/** Records that the target sent the leaving header. */
	noteSelfReport(nowMs: number): TargetState {
		return this.addReason(LeavingReason.SelfReport, nowMs);
	}

	/** Records that a peer received the leaving header; call for each of the peer's views that includes the target. */
	notePeerReport(nowMs: number): TargetState {
		return this.addReason(LeavingReason.PeerReport, nowMs);
	}

	/**
	 * Records an answer without the leaving header. A closed connection is a reason for leaving only if the target kept
	 * a connection open before; otherwise a server that closes every connection would never be used.
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

	/** Records that no connection could be opened, or that the target crashed with requests in flight. */
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

	/** When `startProbe` must be called next, or undefined. */
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

	/** Returns whether a probe must be sent now; report its result to `noteProbeAnswered` or `noteProbeFailed`. */
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
	 * Records that the probe was answered. If the answer has the leaving header, call `noteSelfReport` first. The probe
	 * must request a persistent connection, so that a close by the target is meaningful.
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

	/** Records that the probe was not answered. */
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
