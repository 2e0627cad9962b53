/**
 * A key-value store that can be read and watched, whatever protocol it speaks. Items carry the revision of
 * their last change; one counter orders the changes of all keys.
 */

import type { Result } from 'neverthrow';

/**
 * Incremented each time the store is restored from an older copy. Revisions are assigned again after a restore, so
 * they are comparable only within one era. Undefined for an answer that does not include it.
 */
export type StoreEra = number;

/** One key with its value. */
export interface StoreItem {
	readonly key: string;
	readonly value: Uint8Array;
	readonly revision: number;
}

export enum StoreChangeKind {
	Written = 'written',
	Removed = 'removed',
}

/** A key that was written, or removed. */
export type StoreChange =
	| { readonly kind: StoreChangeKind.Written; readonly item: StoreItem }
	| { readonly kind: StoreChangeKind.Removed; readonly key: string; readonly revision: number };

/** Some of the items below a prefix, in the order of their keys. */
export interface StorePage {
	readonly items: readonly StoreItem[];
	readonly hasMore: boolean;
	/** The store's revision when the page was read. */
	readonly revision: number;
	readonly era?: StoreEra | undefined;
}

/** What changed below a prefix, in the order of the changes. */
export interface StoreWatchResult {
	readonly changes: readonly StoreChange[];
	/** Where the next watch goes on. */
	readonly revision: number;
	readonly era?: StoreEra | undefined;
}

export enum StoreErrorKind {
	/** No answer, or none that can be read. */
	Unreachable = 'unreachable',
	/** The store answered that it does not serve the call now. */
	Refused = 'refused',
	/** The changes after the revision asked for are no longer kept. */
	HistoryGone = 'history-gone',
	/** The store was restored from an older copy since the previous answer. */
	Restored = 'restored',
	/** The answer is of a lower era than an earlier answer. */
	Outdated = 'outdated',
}

/** Why a call gave nothing. */
export interface StoreError {
	readonly kind: StoreErrorKind;
	/** For people. */
	readonly detail: string;
	readonly era?: StoreEra | undefined;
}

/** Reads a store; no call is repeated here. */
export interface IStoreClient {
	/** A page of the items below a prefix whose keys come after `afterKey`. */
	list(
		prefix: string,
		afterKey: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>>;
	/** Waits up to `waitMs` for a change below a prefix after a revision. */
	watch(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>>;
	close(): Promise<void>;
}
