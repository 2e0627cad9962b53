/**
 * Connections to one target on a virtual clock. Idle connections are used again. While the path is cut, connections hang, are
 * reset, or live on while new ones are refused.
 */

import type { ITimerService } from '../../../base/common/timerService';
import type { RequestId } from '../../../core/ids/common/ids';
import type { AttemptRequest, IAttempt, IAttemptObserver, ITargetClient } from '../targets/targetClient';

/** What happens on a path that is cut. */
export enum CutMode {
	Hanging = 'hanging',
	Reset = 'reset',
	/** Open connections live on, new ones are refused. */
	LivingOn = 'living on',
}

const connectMs = 1;
const runMs = 80;
const connectTimeoutMs = 2_000;
const attemptHeader = /^(request-\d+)/;

/** A client whose target answers each request after a fixed time. */
export class ScriptedTargetClient implements ITargetClient {
	private idleConnections = 0;

	constructor(
		private readonly timers: ITimerService,
		private readonly isCut: () => boolean,
		private readonly mode: CutMode,
		private readonly onDidRun: (request: RequestId) => void,
	) {}

	send(request: AttemptRequest, observer: IAttemptObserver): IAttempt {
		const state = { isCancelled: false };
		const isReused = this.idleConnections > 0;
		this.idleConnections -= isReused ? 1 : 0;
		const run = (delayMs: number, step: () => void): void => {
			this.timers.schedule(delayMs, () => {
				if (!state.isCancelled) {
					step();
				}
			});
		};
		const isAnswered = !this.isCut() || (isReused && this.mode === CutMode.LivingOn);
		if (isAnswered) {
			run(isReused ? 0 : connectMs, () => {
				observer.noteHandedOver();
				this.answer(request, observer, run);
			});
		} else {
			this.failOnCutPath(isReused, observer, run);
		}
		return {
			resume: () => undefined,
			release: () => undefined,
			cancel: () => {
				state.isCancelled = true;
			},
		};
	}

	renewConnections(): void {
		this.idleConnections = 0;
	}

	private failOnCutPath(
		isReused: boolean,
		observer: IAttemptObserver,
		run: (delayMs: number, step: () => void) => void,
	): void {
		if (isReused) {
			run(0, () => {
				observer.noteHandedOver();
			});
		}
		if (this.mode !== CutMode.Hanging) {
			run(connectMs, () => {
				observer.noteFailed(new Error('connection reset'));
			});
		} else if (!isReused) {
			run(connectTimeoutMs, () => {
				observer.noteFailed(new Error('connect timeout'));
			});
		}
	}

	private answer(
		{ lines }: AttemptRequest,
		observer: IAttemptObserver,
		run: (delayMs: number, step: () => void) => void,
	): void {
		const attempt = lines.map(({ value }) => attemptHeader.exec(value)?.[1]).find(id => id !== undefined);
		if (attempt !== undefined) {
			this.onDidRun(attempt as RequestId);
		}
		run(runMs, () => {
			observer.receiveHead({ status: 200, lines, endsWithConnection: false });
			observer.receiveData(Buffer.from('done'));
			observer.noteCompleted();
			this.idleConnections++;
		});
	}
}
