/**
 * Whether an entry (proxy process) reaches any target of a service. The load it is designed for is an entry that a network
 * fault separates from all targets while callers and the other entries still reach it. To the scheduler each of the targets
 * looks as if it paused: requests wait for the end of the pauses, are lost in connects that hang, and wait again,
 * although a neighbour could serve them at once.
 *
 * A target that is silent for a second, or that is down, is no cut. Paths count as cut only if no target answers and
 * new connections to several targets all fail, for longer than a target may pause. They count as open again after
 * consecutive rounds of probes that all succeed, so that a link that drops packets does not change the state with each.
 */

import chartFile from '../../../../charts/targetPaths.json';
import { TypedChart, TypedStateMachine } from '../../../core/charts/common/typedChart';

export enum PathState {
	Open = 'open',
	/** Attempts fail or get no answer; the targets are probed. */
	Doubtful = 'doubtful',
	/** No target is reached. */
	Cut = 'cut',
}

export enum PathEvent {
	Doubt = 'Doubt',
	Reach = 'Reach',
	Cut = 'Cut',
}

export const targetPathsChart = new TypedChart(chartFile, PathState, PathEvent);

/** Results of a round of probes, each a new connection to another target. */
export interface ProbeRound {
	readonly probed: number;
	readonly reached: number;
}

/** A change of state with its evidence. */
export interface PathChange {
	readonly from: PathState;
	readonly to: PathState;
	readonly sign: string;
}

/** Time without an answer or a connection after which paths count as cut: longer than a sound target pauses. */
const cutAfterMs = 1_500;

/** Consecutive rounds in which no target was reached before paths count as cut. */
const roundsToCut = 3;

/** Longest time of a round. A longer one shows that this process was late, not that targets did not answer. */
const maxRoundMs = 600;

/** Rounds of successful probes after which cut paths are open. */
const roundsToOpen = 2;

/** Time after a successful round in which further failures cause no probes. */
const quietMs = 2_000;

/** Maximum number of targets that a round probes. */
const maxProbed = 3;

/** Picks the targets of a round, the next ones in each round. */
export function pickProbed<TTarget>(targets: readonly TTarget[], round: number): readonly TTarget[] {
	const count = Math.min(maxProbed, targets.length);
	return Array.from(
		{ length: count },
		(_, index) => targets[(round * count + index) % targets.length],
	).filter(target => target !== undefined);
}

/** State of the paths to the targets of one service. Times are monotonic milliseconds. */
export class TargetPaths {
	private readonly machine = new TypedStateMachine(targetPathsChart);
	private lastAnswerMs = Number.NEGATIVE_INFINITY;
	private lastReachedMs = Number.NEGATIVE_INFINITY;
	private failingSinceMs: number | undefined;
	private goodRounds = 0;
	private failedRounds = 0;

	constructor(private readonly onDidChange: (change: PathChange) => void) {}

	isCut(): boolean {
		return this.machine.getState() === PathState.Cut;
	}

	/** Whether the targets have to be probed. */
	isProbeNeeded(): boolean {
		return this.machine.getState() !== PathState.Open;
	}

	/** Records an answer of any target. */
	noteAnswer(nowMs: number): void {
		this.lastAnswerMs = nowMs;
	}

	/** Records an attempt that failed or gets no answer. */
	noteTrouble(sign: string, nowMs: number): void {
		if (this.machine.getState() === PathState.Open && nowMs - this.lastReachedMs >= quietMs) {
			this.failingSinceMs = undefined;
			this.failedRounds = 0;
			this.send(PathEvent.Doubt, sign);
		}
	}

	noteProbes({ probed, reached }: ProbeRound, startedMs: number, nowMs: number): void {
		if (probed === 0) {
			return;
		}
		if (reached > 0) {
			this.noteReached(probed, reached, nowMs);
			return;
		}
		if (nowMs - startedMs > maxRoundMs) {
			return;
		}
		this.goodRounds = 0;
		this.failedRounds++;
		this.failingSinceMs ??= startedMs;
		const silentSinceMs = Math.max(this.failingSinceMs, this.lastAnswerMs);
		const hasFailed = this.failedRounds >= roundsToCut && nowMs - silentSinceMs >= cutAfterMs;
		if (!this.isCut() && hasFailed) {
			const silence = Number.isFinite(this.lastAnswerMs)
				? `last answer ${Math.round(nowMs - this.lastAnswerMs)} ms ago`
				: 'no answer yet';
			this.send(
				PathEvent.Cut,
				`${probed} of ${probed} probed targets not reached for ${Math.round(nowMs - this.failingSinceMs)} ms, ${silence}`,
			);
		}
	}

	private noteReached(probed: number, reached: number, nowMs: number): void {
		this.failingSinceMs = undefined;
		this.failedRounds = 0;
		this.goodRounds = reached === probed ? this.goodRounds + 1 : 0;
		if (!this.isCut() || this.goodRounds >= roundsToOpen) {
			this.lastReachedMs = nowMs;
			this.goodRounds = 0;
			this.send(PathEvent.Reach, `${reached} of ${probed} probed targets reached`);
		}
	}

	private send(event: PathEvent, sign: string): void {
		const from = this.machine.getState();
		if (targetPathsChart.findNext(from, event) !== undefined) {
			this.machine.send(event);
			this.onDidChange({ from, to: this.machine.getState(), sign });
		}
	}
}
