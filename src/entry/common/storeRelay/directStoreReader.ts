/**
 * Reads the changes of the platform's store directly, with calls that notice by themselves that no answer will come.
 *
 * Failures and how they are handled:
 *
 * - The path to the store is cut silently while others read here. Probes detect that, and the watch ends as failed.
 * - An answer of the store is lost while the present state is wanted. The store is asked once more, on another connection.
 */

import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import { waitForResult } from '../../../base/common/waitFor';
import type {
	IStoreClient,
	IStoreProbe,
	StoreError,
	StoreWatchResult,
} from '../../../core/store/common/storeClient';
import { StoreErrorKind } from '../../../core/store/common/storeClient';
import type { FeedTimes } from './storeFeed';
import { StorePathMonitor } from './storePathMonitor';

/** Receives each read of the present state that was not answered and is asked for once more. */
export type NoteUnanswered = (prefix: string, waitedMs: number) => void;

export class DirectStoreReader extends Disposable {
	private readonly path: StorePathMonitor;
	/** Prefixes with a call that waits at the store for a change. */
	private readonly waitingPrefixes = new Set<string>();

	/** @param isRead Whether other entries read the changes of a prefix here. */
	constructor(
		private readonly client: IStoreClient & IStoreProbe,
		private readonly times: Pick<FeedTimes, 'settleMs' | 'probes'>,
		private readonly timers: ITimerService,
		isRead: (prefix: string) => boolean,
		private readonly noteUnanswered: NoteUnanswered,
	) {
		super();
		this.path = this.register(
			new StorePathMonitor(client, times.probes, timers, () => [...this.waitingPrefixes].some(isRead)),
		);
	}

	/** Waits up to `waitMs` for a change; 0 asks for the present state. */
	async watch(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		return waitMs > 0
			? this.watchUntilLost(prefix, afterRevision, waitMs, signal)
			: this.readPresentState(prefix, afterRevision, signal);
	}

	/** An answer that does not come soon may be lost. Of the two calls, whichever is answered first counts. */
	private async readPresentState(
		prefix: string,
		afterRevision: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		const unanswered = new AbortController();
		const callSignal = AbortSignal.any([signal, unanswered.signal]);
		const first = this.client.watch(prefix, afterRevision, 0, callSignal);
		const startedMs = this.timers.getNow();
		let answer = await waitForResult(this.timers, this.times.settleMs, first);
		if (answer === undefined) {
			this.noteUnanswered(prefix, this.timers.getNow() - startedMs);
			answer = await takeFirstAnswer([first, this.client.watch(prefix, afterRevision, 0, callSignal)]);
		}
		unanswered.abort();
		return answer;
	}

	/** Ends the watch as failed if the path to the store is lost meanwhile. */
	private async watchUntilLost(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		const loss = new AbortController();
		const subscription = subscribeTo(this.path.onDidLose, detail => {
			loss.abort(detail);
		});
		this.waitingPrefixes.add(prefix);
		const anySignal = AbortSignal.any([signal, loss.signal]);
		const answer = await this.client.watch(prefix, afterRevision, waitMs, anySignal);
		this.waitingPrefixes.delete(prefix);
		subscription.dispose();
		return loss.signal.aborted && answer.isErr()
			? err({ kind: StoreErrorKind.Unreachable, detail: String(loss.signal.reason) })
			: answer;
	}
}

/** Whether a call failed without an answer that says anything of the state. */
export function isStoreSilent(answer: Result<unknown, StoreError>): boolean {
	return answer.isErr() && isUnanswered(answer.error);
}

export function isUnanswered({ kind }: StoreError): boolean {
	return kind === StoreErrorKind.Unreachable || kind === StoreErrorKind.Refused;
}

/** Returns the first answer of the store, or the last failure if no call is answered. */
async function takeFirstAnswer<TValue>(
	calls: readonly Promise<Result<TValue, StoreError>>[],
): Promise<Result<TValue, StoreError>> {
	return new Promise(resolve => {
		let openCalls = calls.length;
		for (const call of calls) {
			void call.then(answer => {
				openCalls--;
				if (openCalls === 0 || !isStoreSilent(answer)) {
					resolve(answer);
				}
			});
		}
	});
}
