/**
 * Versioned documents of the simulated configuration service, and the long polls that wait for a newer version.
 * Versions are assigned by the store. Tests can force a version to simulate stale documents, or two documents
 * with the same version.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';

/** A published document. Its bytes are served unchanged. */
export interface VersionedDocument {
	readonly version: number;
	readonly bytes: Buffer | Uint8Array;
}

interface Watch {
	readonly afterVersion: number;
	finish(document: VersionedDocument | undefined): void;
}

const maxDocuments = 64;

/** Stores the most recent documents and serves reads and long polls. */
export class ConfigStore {
	private readonly documents: VersionedDocument[] = [];
	private readonly watches = new Set<Watch>();
	private highestVersion = 0;
	private staleVersion: number | null = null;

	constructor(private readonly timers: ITimerService) {}

	/** Publishes a document under the next version or a forced one. Returns the version. */
	put(bytes: Buffer | Uint8Array, forcedVersion?: number): number {
		const version = forcedVersion ?? this.highestVersion + 1;
		this.highestVersion = Math.max(this.highestVersion, version);
		this.documents.push({ version, bytes });
		if (this.documents.length > maxDocuments) {
			this.documents.shift();
		}
		this.finishWatches();
		return version;
	}

	/** Hides all documents that are newer than this version. Null ends the restriction. */
	setStaleVersion(version: number | null): void {
		this.staleVersion = version;
		this.finishWatches();
	}

	/** Returns the last published document that is not hidden by the stale version. */
	read(): VersionedDocument | undefined {
		return this.documents.findLast(
			document => this.staleVersion === null || document.version <= this.staleVersion,
		);
	}

	/**
	 * Calls `finish` once: with a document newer than `afterVersion`, or with undefined after `waitMs`. Disposing
	 * the result cancels the watch.
	 */
	watch(
		afterVersion: number,
		waitMs: number,
		finish: (document: VersionedDocument | undefined) => void,
	): IDisposable {
		const current = this.read();
		if (current !== undefined && current.version > afterVersion) {
			finish(current);
			return toDisposable(() => undefined);
		}
		const timer = this.timers.schedule(waitMs, () => {
			this.watches.delete(watch);
			finish(undefined);
		});
		const watch: Watch = {
			afterVersion,
			finish: document => {
				timer.dispose();
				finish(document);
			},
		};
		this.watches.add(watch);
		return toDisposable(() => {
			timer.dispose();
			this.watches.delete(watch);
		});
	}

	countWatches(): number {
		return this.watches.size;
	}

	private finishWatches(): void {
		const current = this.read();
		for (const watch of [...this.watches]) {
			if (current !== undefined && current.version > watch.afterVersion) {
				this.watches.delete(watch);
				watch.finish(current);
			}
		}
	}
}
