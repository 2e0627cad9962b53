/**
 * The items below one prefix of the store as this process last saw them.
 *
 * Pages of a listing are read one after the other while the store changes, and a watch goes on from the
 * revision of the first page; so a change can arrive that a later page showed already. Each key's revision
 * decides: what is not newer than what is held changes nothing.
 *
 * After a restore of the store, the same revision of a key may have another value. All items of the next listing are
 * therefore reported as written.
 */

import type { StoreChange, StoreItem, StoreWatchResult } from './storeClient';
import { StoreChangeKind } from './storeClient';

/** What changed, each key once. */
export interface MirrorChange {
	readonly written: readonly StoreItem[];
	readonly removed: readonly string[];
	/** First listing after a restore; it may contain items that were changed or removed after the copy was made. */
	readonly isRestored: boolean;
}

/** Holds the items of one prefix. */
export class StoreMirror {
	private items = new Map<string, StoreItem>();
	private heldRevision = 0;
	private isRestored = false;

	/** The revision up to which all changes are held; 0 before the first listing. */
	get revision(): number {
		return this.heldRevision;
	}

	/** Discards the revision, which is not valid after a restore; the items are kept until the next listing. */
	markRestored(): void {
		this.heldRevision = 0;
		this.isRestored = true;
	}

	/** A whole listing takes the place of what was held. */
	putAll(items: readonly StoreItem[], revision: number): MirrorChange {
		const before = this.items;
		const { isRestored } = this;
		this.isRestored = false;
		this.items = new Map(items.map(item => [item.key, item]));
		this.heldRevision = revision;
		return {
			written: items.filter(item => isRestored || before.get(item.key)?.revision !== item.revision),
			removed: [...before.keys()].filter(key => !this.items.has(key)),
			isRestored,
		};
	}

	/** Changes that a watch brought. */
	apply(result: StoreWatchResult): MirrorChange {
		const touched = new Set<string>();
		for (const change of result.changes) {
			const key = this.applyOne(change);
			if (key !== undefined) {
				touched.add(key);
			}
		}
		this.heldRevision = Math.max(this.heldRevision, result.revision);
		const present = [...touched].map(key => this.items.get(key)).filter(item => item !== undefined);
		return {
			written: present,
			removed: [...touched].filter(key => !this.items.has(key)),
			isRestored: false,
		};
	}

	/** Gives the key where the change is news. */
	private applyOne(change: StoreChange): string | undefined {
		if (change.kind === StoreChangeKind.Removed) {
			const isNewer = change.revision > this.getRevision(change.key) && this.items.delete(change.key);
			return isNewer ? change.key : undefined;
		}
		const { item } = change;
		if (item.revision <= this.getRevision(item.key)) {
			return undefined;
		}
		this.items.set(item.key, item);
		return item.key;
	}

	private getRevision(key: string): number {
		return this.items.get(key)?.revision ?? 0;
	}
}
