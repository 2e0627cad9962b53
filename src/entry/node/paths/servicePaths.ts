/**
 * Watches whether this entry reaches the targets of one service: observes attempts, and probes targets with new
 * connections while attempts fail or get no answer. `entry/common/paths` decides what that means.
 */

import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { IAuditTrail } from '../../../core/audit/common/auditTrail';
import { AuditKind } from '../../../core/audit/common/auditTrail';
import type { ServiceName } from '../../../core/ids/common/ids';
import type { ProbeRound } from '../../common/paths/targetPaths';
import { PathState, TargetPaths } from '../../common/paths/targetPaths';

/** Receives what attempts show about the paths to targets. */
export interface IPathObserver {
	/** Called when an attempt is sent. */
	noteSent(): void;
	/** Called when a target has sent something. */
	noteAnswer(): void;
	/** Called when an attempt failed without an answer. */
	noteTrouble(sign: string): void;
}

/** Opens new connections to some of the service's targets and returns how many of them accepted. */
export type ProbePaths = (round: number) => Promise<ProbeRound>;

const probeIntervalMs = 500;

/** Time without an answer of any target after which a sent attempt counts as unanswered. */
const unansweredMs = 700;

/** The paths from this entry to the targets of one service. */
export class ServicePaths extends Disposable implements IPathObserver {
	private readonly paths: TargetPaths;
	private readonly changes = this.register(new Channel<boolean>());
	private unansweredTimer: IDisposable | undefined;
	private probeTimer: IDisposable | undefined;
	private isProbing = false;
	private isClosed = false;
	private rounds = 0;

	/** Emits whether the paths are cut, whenever that changes. */
	readonly onDidChange: Stream<boolean> = this.changes.stream;

	constructor(
		service: ServiceName,
		private readonly probe: ProbePaths,
		auditTrail: IAuditTrail,
		private readonly timers: ITimerService,
	) {
		super();
		this.paths = new TargetPaths(({ from, to, sign }) => {
			auditTrail.record({
				kind: AuditKind.Paths,
				subject: service,
				from,
				to,
				sign,
				manifestVersion: undefined,
			});
			if (from === PathState.Cut || to === PathState.Cut) {
				this.changes.emit(this.paths.isCut());
			}
		});
		this.register(
			toDisposable(() => {
				this.isClosed = true;
				this.unansweredTimer?.dispose();
				this.probeTimer?.dispose();
			}),
		);
	}

	/** Whether no target of the service is reached. */
	isCut(): boolean {
		return this.paths.isCut();
	}

	noteSent(): void {
		this.unansweredTimer ??= this.timers.schedule(unansweredMs, () => {
			this.unansweredTimer = undefined;
			this.noteTrouble(`no answer for ${unansweredMs} ms`);
		});
	}

	noteAnswer(): void {
		this.unansweredTimer?.dispose();
		this.unansweredTimer = undefined;
		this.paths.noteAnswer(this.timers.getNow());
	}

	noteTrouble(sign: string): void {
		this.paths.noteTrouble(sign, this.timers.getNow());
		void this.probeWhileNeeded();
	}

	private async probeWhileNeeded(): Promise<void> {
		if (this.isProbing || this.hasClosed() || !this.paths.isProbeNeeded()) {
			return;
		}
		this.isProbing = true;
		const startedMs = this.timers.getNow();
		const round = await this.probe(this.rounds++);
		this.isProbing = false;
		if (this.hasClosed()) {
			return;
		}
		this.paths.noteProbes(round, startedMs, this.timers.getNow());
		this.probeTimer?.dispose();
		const spentMs = this.timers.getNow() - startedMs;
		this.probeTimer = this.timers.schedule(Math.max(0, probeIntervalMs - spentMs), () => {
			void this.probeWhileNeeded();
		});
	}

	private hasClosed(): boolean {
		return this.isClosed;
	}
}
