/**
 * Interface of a key-value store that can be listed and watched, independent of the store's protocol. Each item
 * includes the revision of its last change; revisions come from one counter for all keys of the store.
 */

import type { Result } from 'neverthrow';

/**
 * Incremented each time the store is restored from an older copy. Revisions are assigned again after a restore, so
 * they are comparable only within one era. Undefined if an answer does not include it.
 */
export type StoreEra = number;

/** A key with its value and the revision of its last change. */
export interface StoreItem {
	readonly key: string;
	readonly value: Uint8Array;
	readonly revision: number;
}

export enum StoreChangeKind {
	Written = 'written',
	Removed = 'removed',
}

/** One write or removal of a key. */
export type StoreChange =
	| { readonly kind: StoreChangeKind.Written; readonly item: StoreItem }
	| { readonly kind: StoreChangeKind.Removed; readonly key: string; readonly revision: number };

/** A page of the items whose keys begin with a prefix, sorted by key. */
export interface StorePage {
	readonly items: readonly StoreItem[];
	readonly hasMore: boolean;
	/** The store's revision when the page was read. */
	readonly revision: number;
	readonly era?: StoreEra | undefined;
	/** The page describes the state at this time of the reader's clock; undefined for when the call began. */
	readonly asOfMs?: number;
	/** Whether another process read the page from the store. */
	readonly isRelayed?: boolean;
}

/** Changes of the keys that begin with a prefix, in the order in which they were made. */
export interface StoreWatchResult {
	readonly changes: readonly StoreChange[];
	/** The revision after which the next watch continues. */
	readonly revision: number;
	readonly era?: StoreEra | undefined;
	/** The changes lead to the state at this time of the reader's clock; undefined if the call alone determines it. */
	readonly asOfMs?: number;
	/** Whether another process read the changes from the store. */
	readonly isRelayed?: boolean;
}

export enum StoreErrorKind {
	/** There was no answer, or it could not be parsed. */
	Unreachable = 'unreachable',
	/** The store answered that it cannot serve the call at present. */
	Refused = 'refused',
	/** The store no longer keeps the changes after the requested revision. */
	HistoryGone = 'history-gone',
	/** Changes alone do not lead to the present state, and a complete listing is ready to be read. */
	ListingReady = 'listing-ready',
	/** The store was restored from an older copy since the previous answer. */
	Restored = 'restored',
	/** The answer has a lower era than an earlier answer. */
	Outdated = 'outdated',
}

/** Why a call failed. */
export interface StoreError {
	readonly kind: StoreErrorKind;
	/** Explanation for logs. */
	readonly detail: string;
	readonly era?: StoreEra | undefined;
}

/** Checks whether a store can be reached. */
export interface IStoreProbe {
	/** Asks for a small answer at low cost. Any answer is a success, since it shows that the path to the store works. */
	probe(signal: AbortSignal): Promise<Result<undefined, StoreError>>;
}

/** Reads a store. Calls are not retried by the client. */
export interface IStoreClient {
	/** Returns a page of the items whose keys begin with `prefix` and sort after `afterKey`. */
	list(
		prefix: string,
		afterKey: string | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePage, StoreError>>;
	/** Waits up to `waitMs` for a change after `afterRevision` to a key that begins with `prefix`. */
	watch(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<StoreWatchResult, StoreError>>;
	close(): Promise<void>;
}
