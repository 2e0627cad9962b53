/**
 * The configuration service's documents and the watches that wait for them. The store alone gives out
 * versions; a forced version exists for tests of staleness and of two documents with one version.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import { toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';

/** A document as it was published, byte for byte. */
export interface VersionedDocument {
	readonly version: number;
	readonly bytes: Buffer | Uint8Array;
}

interface Watch {
	readonly afterVersion: number;
	finish(document: VersionedDocument | undefined): void;
}

const mostDocuments = 64;

/** Keeps the published documents and answers reads and hanging watches. */
export class ConfigStore {
	private readonly documents: VersionedDocument[] = [];
	private readonly watches = new Set<Watch>();
	private highestVersion = 0;
	private staleVersion: number | null = null;

	constructor(private readonly timers: ITimerService) {}

	/** Publishes a document under the next version, or under a forced one, and gives that version. */
	put(bytes: Buffer | Uint8Array, forcedVersion?: number): number {
		const version = forcedVersion ?? this.highestVersion + 1;
		this.highestVersion = Math.max(this.highestVersion, version);
		this.documents.push({ version, bytes });
		if (this.documents.length > mostDocuments) {
			this.documents.shift();
		}
		this.finishWatches();
		return version;
	}

	/** Serves nothing newer than this version until it is set to null. */
	setStaleVersion(version: number | null): void {
		this.staleVersion = version;
		this.finishWatches();
	}

	/** The document that readers see now. */
	read(): VersionedDocument | undefined {
		return this.documents.findLast(
			document => this.staleVersion === null || document.version <= this.staleVersion,
		);
	}

	/** Calls back once: with a document newer than `afterVersion`, or with undefined after `waitMs`. */
	watch(
		afterVersion: number,
		waitMs: number,
		finish: (document: VersionedDocument | undefined) => void,
	): IDisposable {
		const present = this.read();
		if (present !== undefined && present.version > afterVersion) {
			finish(present);
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
		const present = this.read();
		for (const watch of [...this.watches]) {
			if (present !== undefined && present.version > watch.afterVersion) {
				this.watches.delete(watch);
				watch.finish(present);
			}
		}
	}
}
