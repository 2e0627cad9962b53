/**
 * A store in virtual time with one item that is written once, and an outage in which nothing refuses: calls
 * that hang when it begins and calls that are made in it never get an answer, not even after it.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ManualTimerService } from '../../../base/common/manualTimerService';
import type { IStoreClient, StoreFault, StoreItem, StoreNews, StorePage } from '../common/storeClient';
import { StoreChangeKind, StoreFaultKind } from '../common/storeClient';

/** When calls get no answer, in milliseconds of the virtual clock. */
export interface Outage {
	readonly fromMs: number;
	readonly toMs: number;
}

const answerMs = 4;
const key = 'op/config';

export class OutageStore implements IStoreClient {
	private item: StoreItem = { key, value: Buffer.from('old'), revision: 1 };
	private readonly answerable = new Set<() => void>();

	constructor(
		private readonly timers: ManualTimerService,
		private readonly outage: Outage,
	) {
		timers.schedule(outage.fromMs, () => {
			this.answerable.clear();
		});
	}

	/** Ends the watches that hang. */
	write(): void {
		this.item = { key, value: Buffer.from('new'), revision: 2 };
		for (const answer of this.answerable) {
			answer();
		}
	}

	list(
		_prefix: string,
		_after: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreFault>> {
		const describe = (): StorePage => ({ items: [this.item], hasMore: false, revision: this.item.revision });
		return this.answerAfter(answerMs, describe, signal);
	}

	watch(
		_prefix: string,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreNews, StoreFault>> {
		const describe = (): StoreNews => {
			const { item } = this;
			const changes = item.revision > after ? [{ kind: StoreChangeKind.Written as const, item }] : [];
			return { changes, revision: item.revision };
		};
		const hasNews = this.item.revision > after;
		return this.answerAfter(hasNews ? answerMs : waitMs + answerMs, describe, signal);
	}

	close(): Promise<void> {
		return Promise.resolve();
	}

	private async answerAfter<TValue>(
		delayMs: number,
		describe: () => TValue,
		signal: AbortSignal,
	): Promise<Result<TValue, StoreFault>> {
		return new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve(err({ kind: StoreFaultKind.Unreachable, detail: 'given up' }));
			});
			if (this.isAway()) {
				return;
			}
			const answer = (): void => {
				if (this.answerable.delete(answer)) {
					resolve(ok(describe()));
				}
			};
			this.answerable.add(answer);
			this.timers.schedule(delayMs, answer);
		});
	}

	private isAway(): boolean {
		const nowMs = this.timers.getNow();
		return nowMs >= this.outage.fromMs && nowMs < this.outage.toMs;
	}
}
