/**
 * The audit trail: every state change that an operator may have to account for, with its cause. Records are written
 * to the log as structured lines and kept in a ring buffer in memory. Nothing is written to disk.
 */

import type { Stream } from 'most';
import type { ManifestVersion } from '../../ids/common/ids';

/** The kind of object that changed. The list is closed; a new kind needs a row in docs/OPERATIONS.md. */
export enum AuditKind {
	Manifest = 'manifest',
	Target = 'target',
	Instance = 'instance',
	Limit = 'limit',
	Process = 'process',
	Certificate = 'certificate',
	Paths = 'paths',
}

/** One state change. */
export interface AuditRecord {
	/** Starts at 1 with each start of the process; readers use it to request only newer records. */
	readonly sequence: number;
	/** Wall-clock time, for display only; never compared. */
	readonly at: Date;
	readonly kind: AuditKind;
	/** The id of the object that changed. */
	readonly subject: string;
	readonly from: string;
	readonly to: string;
	/** The cause of the change: `instance list`, `manifest 12`, `peer entry-2`, `connect refused`. */
	readonly sign: string;
	readonly manifestVersion: ManifestVersion | undefined;
}

/** A change to be recorded; the audit trail adds the time and the sequence number. */
export type AuditChange = Omit<AuditRecord, 'sequence' | 'at'>;

/** Records changes and emits them to subscribers. */
export interface IAuditTrail {
	readonly onDidRecord: Stream<AuditRecord>;
	record(change: AuditChange): void;
	/** The newest records, oldest first. */
	list(maxRecords?: number): readonly AuditRecord[];
}
