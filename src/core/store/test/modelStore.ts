/**
 * An in-memory store on a virtual clock that can be copied and restored.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ManualTimerService } from '../../../base/common/manualTimerService';
import type {
	IStoreClient,
	StoreChange,
	StoreError,
	StoreItem,
	StoreWatchResult,
	StorePage,
} from '../common/storeClient';
import { StoreChangeKind, StoreErrorKind } from '../common/storeClient';

/** Items and revision of a store at one point in time. */
export interface ModelStoreCopy {
	readonly items: ReadonlyMap<string, StoreItem>;
	readonly revision: number;
}

interface OpenWatch {
	readonly prefix: string;
	readonly after: number;
	readonly resolve: (answer: Result<StoreWatchResult, StoreError>) => void;
}

const pageItems = 2;
const answerDelayMs = 4;

export class ModelStore implements IStoreClient {
	/** Whether answers include the era. */
	includesEra = true;
	private items = new Map<string, StoreItem>();
	private history: StoreChange[] = [];
	private oldestWatchRevision = 0;
	private revision = 1;
	private era = 1;
	private watches: OpenWatch[] = [];

	constructor(private readonly timers: ManualTimerService) {}

	listValues(): Record<string, string> {
		return Object.fromEntries(
			[...this.items].map(([key, { value }]) => [key, Buffer.from(value).toString()]),
		);
	}

	put(key: string, value: string): void {
		this.revision++;
		const item = { key, value: Buffer.from(value), revision: this.revision };
		this.items.set(key, item);
		this.record({ kind: StoreChangeKind.Written, item });
	}

	remove(key: string): void {
		if (this.items.delete(key)) {
			this.revision++;
			this.record({ kind: StoreChangeKind.Removed, key, revision: this.revision });
		}
	}

	createCopy(): ModelStoreCopy {
		return { items: new Map(this.items), revision: this.revision };
	}

	applyCopy({ items, revision }: ModelStoreCopy): void {
		this.era++;
		this.items = new Map(items);
		this.revision = revision;
		this.clearHistory();
		for (const { resolve } of this.watches.splice(0)) {
			resolve(err({ kind: StoreErrorKind.Unreachable, detail: 'connection reset' }));
		}
	}

	/** Forgets all changes made so far. Watches that continue from before the latest one fail. */
	clearHistory(): void {
		this.oldestWatchRevision = this.revision;
		this.history = [];
	}

	async list(
		prefix: string,
		afterKey: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>> {
		return this.answerLater(signal, () => {
			const found = [...this.items.values()]
				.filter(({ key }) => key.startsWith(prefix) && key > (afterKey ?? ''))
				.sort((left, right) => (left.key < right.key ? -1 : 1));
			return ok({
				items: found.slice(0, pageItems),
				hasMore: found.length > pageItems,
				revision: this.revision,
				era: this.getAnswerEra(),
			});
		});
	}

	async watch(
		prefix: string,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>> {
		return this.answerLater<StoreWatchResult>(signal, resolve => {
			if (after < this.oldestWatchRevision || after > this.revision) {
				return err({
					kind: StoreErrorKind.HistoryGone,
					detail: 'history no longer kept',
					era: this.getAnswerEra(),
				});
			}
			const watch = { prefix, after, resolve };
			if (waitMs === 0 || this.listChanges(watch).length > 0) {
				return this.createWatchResult(watch);
			}
			this.watches.push(watch);
			this.timers.schedule(waitMs, () => {
				this.answerWatch(watch);
			});
			return undefined;
		});
	}

	close(): Promise<void> {
		return Promise.resolve();
	}

	private record(change: StoreChange): void {
		this.history.push(change);
		for (const watch of this.watches.filter(open => this.listChanges(open).length > 0)) {
			this.answerWatch(watch);
		}
	}

	private answerWatch(watch: OpenWatch): void {
		if (this.watches.includes(watch)) {
			this.watches = this.watches.filter(open => open !== watch);
			watch.resolve(this.createWatchResult(watch));
		}
	}

	private createWatchResult(watch: OpenWatch): Result<StoreWatchResult, StoreError> {
		return ok({ changes: this.listChanges(watch), revision: this.revision, era: this.getAnswerEra() });
	}

	private listChanges({ prefix, after }: OpenWatch): StoreChange[] {
		return this.history.filter(change => {
			const { key, revision } = change.kind === StoreChangeKind.Written ? change.item : change;
			return key.startsWith(prefix) && revision > after;
		});
	}

	private getAnswerEra(): number | undefined {
		return this.includesEra ? this.era : undefined;
	}

	/** Computes the answer after a delay; if `computeAnswer` returns undefined, it calls `resolve` later. */
	private async answerLater<TValue>(
		signal: AbortSignal,
		computeAnswer: (
			resolve: (answer: Result<TValue, StoreError>) => void,
		) => Result<TValue, StoreError> | undefined,
	): Promise<Result<TValue, StoreError>> {
		return new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve(err({ kind: StoreErrorKind.Unreachable, detail: 'call aborted' }));
			});
			this.timers.schedule(answerDelayMs, () => {
				const answer = computeAnswer(resolve);
				if (answer !== undefined) {
					resolve(answer);
				}
			});
		});
	}
}

/** Advances the clock in small steps and lets pending promises settle after each. */
export async function advanceInSteps(timers: ManualTimerService, durationMs: number): Promise<void> {
	const stepMs = 4;
	for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
		timers.advance(stepMs);
		for (let turn = 0; turn < 12; turn++) {
			await Promise.resolve();
		}
	}
}
