/**
 * Follows the uncertain ends of a service's answers at this entry (proxy process): whether another target should confirm
 * one, what the others show of it, and how long its caller waits for that.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { TargetId } from '../../../core/ids/common/ids';
import { AttemptEnd } from '../../common/scheduling/serviceScheduler';
import type { EndEvidence } from '../../common/streams/unframedEnds';
import { TargetFraming } from '../../common/streams/targetFraming';
import { UnframedEnds } from '../../common/streams/unframedEnds';
import type { ForwardEnd } from '../peers/forwardRun';
import { ForwardEndKind } from '../peers/forwardRun';
import type { AttemptRun } from './attemptRun';
import type { RequestRun } from './requestRun';

/** How long a caller waits for other targets to confirm the end of its answer, in milliseconds. */
const maxConfirmationMs = 1_500;
/** How soon the limit is checked again while a target is checked for a crash, in milliseconds. */
const confirmationRecheckMs = 100;

/** Ends of an attempt that ran, and shows nothing of the end before it. */
const failedEnds: ReadonlySet<AttemptEnd> = new Set([
	AttemptEnd.Failed,
	AttemptEnd.Erred,
	AttemptEnd.Silent,
	AttemptEnd.Cancelled,
]);

/** The parts of an attempt that its end is recorded with. */
type EndedAttempt = Pick<AttemptRun, 'run' | 'target'>;

/** What the owner of the requests does for this class. */
export interface IConfirmationOwner {
	/** A target ended a stream early as if it were whole. */
	handleEarlyEnd(target: TargetId): void;
	/** Ends the wait for a confirmation. Returns false if the request can't be ended yet. */
	endConfirmation(run: RequestRun, error: RequestError): boolean;
}

export class EndConfirmations {
	private readonly ends = new UnframedEnds();
	private readonly framing = new TargetFraming();
	/** The possible runs of requests at their last uncertain end. A forward that adds none shows nothing of it. */
	private readonly runsAtEnds = new WeakMap<RequestRun, number>();
	private readonly waits = new WeakMap<RequestRun, IDisposable>();

	constructor(
		private readonly timers: ITimerService,
		private readonly owner: IConfirmationOwner,
	) {}

	setTargets(targets: readonly TargetId[]): void {
		this.framing.setTargets(targets);
	}

	/**
	 * Records the head of a stream.
	 *
	 * @param target The target that sent it, unless another entry ran the request.
	 */
	noteHead(isFramed: boolean, target?: TargetId): void {
		this.ends.noteHead(isFramed);
		if (target !== undefined) {
			this.framing.noteHead(target, isFramed);
		}
	}

	/** Whether a target is expected to show if the answer is whole, where its end is in doubt. */
	isEndProvedBy(run: RequestRun, target: TargetId): boolean {
		return !run.openEnd.isOpen() || this.framing.isFramed(target);
	}

	/** Records the end of an attempt, and what it shows of the uncertain end before it. */
	noteAttemptEnd({ run, target }: EndedAttempt, end: AttemptEnd, error: RequestError | undefined): void {
		const isOpen = run.openEnd.isOpen() && error?.kind !== ErrorKind.CallerGone;
		if (end === AttemptEnd.Unconfirmed) {
			run.openEnd.setEndedTarget(target);
		} else if (end === AttemptEnd.Answered && isOpen) {
			this.ends.noteConfirmed();
		} else if (failedEnds.has(end) && isOpen) {
			this.noteFailure(run);
		} else if (end === AttemptEnd.Failed && run.hasBegun()) {
			run.openEnd.noteInterrupted();
		}
	}

	/** Records how a forward to another entry ended. */
	noteForwardEnd(run: RequestRun, { kind }: ForwardEnd): void {
		const isPassedOn = kind === ForwardEndKind.Answered || kind === ForwardEndKind.Unconfirmed;
		if (isPassedOn && run.isResumable()) {
			this.noteHead(run.isEndCertain());
		}
		const runs = this.runsAtEnds.get(run) ?? run.history.possibleRuns;
		if (kind !== ForwardEndKind.Failed) {
			return;
		}
		if (!run.openEnd.isOpen()) {
			run.openEnd.noteInterrupted();
		} else if (run.history.possibleRuns > runs) {
			this.noteFailure(run);
		}
	}

	/** Records that a target or another entry that was to confirm the end of an answer failed. */
	private noteFailure(run: RequestRun): void {
		run.openEnd.noteConfirmationFailed();
		this.ends.noteConfirmationFailed();
	}

	/** Records that an answer ended uncertainly since its target crashed. */
	noteCrash(run: RequestRun): void {
		run.openEnd.noteCrash();
		this.ends.noteRefuted(this.timers.getNow());
	}

	/** The caller of a stream that breaks off can resume it, so an end that is likely to be wrong is cut. */
	isAcceptable(run: RequestRun): boolean {
		return !run.isResumable() || this.ends.isAcceptable(this.getEvidence(run), this.timers.getNow());
	}

	/**
	 * Whether another target should confirm the uncertain end of an answer, if one can.
	 *
	 * @param target The target that ended the answer, unless another entry ran it.
	 */
	isDue(run: RequestRun, target?: TargetId): boolean {
		if (run.hasEnded()) {
			return false;
		}
		this.watch(run, target);
		if (target !== undefined && this.isEarlyEndLikely()) {
			this.owner.handleEarlyEnd(target);
		}
		this.runsAtEnds.set(run, run.history.possibleRuns);
		if (run.hasBegunFramed()) {
			return true;
		}
		if (!run.isResumable()) {
			return false;
		}
		if (this.ends.isProved(this.getEvidence(run), this.timers.getNow())) {
			this.ends.noteConfirmed();
			return false;
		}
		return this.ends.takeConfirmation();
	}

	/**
	 * Whether a target that ended without framing is to be avoided before another one shows that it ended early, which takes a
	 * retry. Where targets that send framing are few, this would leave too few of them.
	 */
	private isEarlyEndLikely(): boolean {
		return this.ends.isDoubtful(this.timers.getNow()) && this.framing.isLikely();
	}

	/**
	 * Limits how long the caller of an answer without framing waits, which may well be whole. Callers leave a stream that
	 * brings nothing for some seconds.
	 */
	scheduleWaitEnd(run: RequestRun, delayMs = maxConfirmationMs): void {
		this.waits.get(run)?.dispose();
		if (run.hasEnded() || run.hasBegunFramed()) {
			return;
		}
		const wait = this.timers.schedule(delayMs, () => {
			if (!run.hasEnded() && run.openEnd.isOpen() && !this.owner.endConfirmation(run, unconfirmed)) {
				this.scheduleWaitEnd(run, confirmationRecheckMs);
			}
		});
		this.waits.set(run, wait);
	}

	private getEvidence(run: RequestRun): EndEvidence {
		const required = run.findRequiredVersion();
		const isVersionUnknown = required !== undefined && required.version === undefined;
		return run.openEnd.getEvidence(isVersionUnknown, this.framing.isLikely());
	}

	private watch(run: RequestRun, target: TargetId | undefined): void {
		run.openEnd.watch(
			() => this.isAcceptable(run),
			() => {
				this.ends.noteRefuted(this.timers.getNow());
				if (target !== undefined) {
					this.owner.handleEarlyEnd(target);
				}
			},
		);
	}
}

const unconfirmed = createRequestError(
	ErrorKind.TargetSilent,
	'no target confirmed the end of the answer in time',
);
