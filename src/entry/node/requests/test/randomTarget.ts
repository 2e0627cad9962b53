/**
 * Test fixture: a target that sends a random run of a stream for each attempt.
 */

import { setImmediate } from 'node:timers/promises';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { IAttempt, IAttemptObserver, ITargetClient } from '../../targets/targetClient';
import type { PlayedRun, RandomRunSource } from './randomRunSource';
import { RunEnd, RunWay } from './randomRuns';

/** What a target needs of the entry that it belongs to. */
export interface TargetSetting {
	readonly source: RandomRunSource;
	/** The last event that the caller has, which a target is asked to go on after. */
	readonly findLastEventId: () => string | undefined;
	readonly noteCrash: () => void;
}

/** One attempt at a target. */
class RandomAttempt implements IAttempt {
	private isOver = false;
	private handleResume = (): void => undefined;

	constructor(
		private readonly setting: TargetSetting,
		private readonly observer: IAttemptObserver,
	) {}

	resume(): void {
		this.handleResume();
	}

	cancel(): void {
		this.isOver = true;
		this.handleResume();
	}

	release(): void {
		this.isOver = true;
		this.handleResume();
	}

	async run(): Promise<void> {
		const { setting, observer } = this;
		await setImmediate();
		observer.noteHandedOver();
		if (this.hasEnded()) {
			return;
		}
		const played = setting.source.take(RunWay.Direct, setting.findLastEventId());
		observer.receiveHead(played.head);
		for (const piece of played.pieces) {
			await this.send(piece);
		}
		if (!this.hasEnded()) {
			this.end(played);
		}
	}

	private hasEnded(): boolean {
		return this.isOver;
	}

	private async send(piece: Buffer): Promise<void> {
		if (this.isOver) {
			return;
		}
		const resumed = new Promise<void>(resolve => {
			this.handleResume = resolve;
		});
		if (!this.observer.receiveData(piece)) {
			await resumed;
		}
		await setImmediate();
	}

	private end({ run, shownEnd }: PlayedRun): void {
		if (run.end === RunEnd.Silent) {
			return;
		}
		const isCrash = run.end === RunEnd.Crash;
		if (isCrash) {
			this.setting.noteCrash();
		}
		if (shownEnd !== AnswerEnd.Cut || (isCrash && run.isUnframed)) {
			this.observer.noteCompleted();
			return;
		}
		this.observer.noteFailed(new Error('the connection was reset'));
	}
}

export function createRandomTarget(setting: TargetSetting): ITargetClient {
	return {
		send: (_, observer) => {
			const attempt = new RandomAttempt(setting, observer);
			void attempt.run();
			return attempt;
		},
		renewConnections: () => undefined,
	};
}
