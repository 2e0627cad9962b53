/**
 * Local copy of the items below one prefix of the store.
 *
 * The pages of a listing are read one after the other while the store changes, and the following watch continues from
 * the revision of the first page. A watch can therefore report a change that a later page already included. Changes
 * whose revision is not higher than that of the local item are ignored.
 *
 * After a restore of the store, the same revision of a key may have another value. All items of the next listing are
 * therefore reported as written.
 */

import type { StoreChange, StoreItem, StoreWatchResult } from './storeClient';
import { StoreChangeKind } from './storeClient';

/** Changes of the local copy; each key occurs once. */
export interface MirrorChange {
	readonly written: readonly StoreItem[];
	readonly removed: readonly string[];
	/** Items that were written and then replaced or removed within the changes; a key may occur several times. */
	readonly superseded: readonly StoreItem[];
	/** First listing after a restore; it may contain items that were changed or removed after the copy was made. */
	readonly isRestored: boolean;
}

export function hasChangedItems({ written, removed, superseded }: MirrorChange): boolean {
	return written.length + removed.length + superseded.length > 0;
}

/** Keeps the items of one prefix and computes what each listing or watch changed. */
export class StoreMirror {
	private items = new Map<string, StoreItem>();
	private heldRevision = 0;
	private isRestored = false;

	/** The revision up to which all changes are applied; 0 before the first listing. */
	get revision(): number {
		return this.heldRevision;
	}

	listItems(): readonly StoreItem[] {
		return [...this.items.values()];
	}

	/** Discards the revision, which is not valid after a restore; the items are kept until the next listing. */
	markRestored(): void {
		this.heldRevision = 0;
		this.isRestored = true;
	}

	/** Replaces all items by those of a complete listing. */
	putAll(items: readonly StoreItem[], revision: number): MirrorChange {
		const before = this.items;
		const { isRestored } = this;
		this.isRestored = false;
		this.items = new Map(items.map(item => [item.key, item]));
		this.heldRevision = revision;
		return {
			written: items.filter(item => isRestored || before.get(item.key)?.revision !== item.revision),
			removed: [...before.keys()].filter(key => !this.items.has(key)),
			superseded: [],
			isRestored,
		};
	}

	/** Applies the changes that a watch returned. */
	apply(result: StoreWatchResult): MirrorChange {
		const touched = new Set<string>();
		const superseded: StoreItem[] = [];
		for (const change of result.changes) {
			const key = getKey(change);
			const before = touched.has(key) ? this.items.get(key) : undefined;
			if (!this.applyOne(change)) {
				continue;
			}
			touched.add(key);
			if (before !== undefined) {
				superseded.push(before);
			}
		}
		this.heldRevision = Math.max(this.heldRevision, result.revision);
		const present = [...touched].map(key => this.items.get(key)).filter(item => item !== undefined);
		return {
			written: present,
			removed: [...touched].filter(key => !this.items.has(key)),
			superseded,
			isRestored: false,
		};
	}

	/** Returns whether the change is newer than the local item. */
	private applyOne(change: StoreChange): boolean {
		if (change.kind === StoreChangeKind.Removed) {
			return change.revision > this.getRevision(change.key) && this.items.delete(change.key);
		}
		const { item } = change;
		if (item.revision <= this.getRevision(item.key)) {
			return false;
		}
		this.items.set(item.key, item);
		return true;
	}

	private getRevision(key: string): number {
		return this.items.get(key)?.revision ?? 0;
	}
}

function getKey(change: StoreChange): string {
	return change.kind === StoreChangeKind.Removed ? change.key : change.item.key;
}
