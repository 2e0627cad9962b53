/**
 * The data that the operators' port reads from the process.
 */

import type { AuditRecord } from '../../audit/common/auditTrail';
import type { RequestRecord } from '../../explain/common/requestJournal';
import type { ManifestVersion, RequestId } from '../../ids/common/ids';
import type { EntryStatus, Readiness } from '../../status/common/entryStatus';
import type { OrganisationsAnswer, SlownessAnswer } from '../../status/common/organisationsStatus';

/** The manifest in force, as the platform published it. */
export interface ManifestInForce {
	readonly version: ManifestVersion;
	readonly digest: string;
	/** The JSON text that was validated and accepted. */
	readonly text: string;
}

/** Returns data from the memory of the process, without waiting for other systems. */
export interface IOperatorsSource {
	getReadiness(): Readiness;
	getStatus(): EntryStatus;
	/** The organisations of the manifest in force; empty before the first. */
	getOrganisations(): OrganisationsAnswer;
	/** The slowness of the targets of all services. */
	getSlowness(): SlownessAnswer;
	/** The record of a request, or undefined if the request was never received or its record was replaced. */
	findRecord(id: RequestId): RequestRecord | undefined;
	/** The newest records, oldest first. */
	listTrail(maxRecords: number): readonly AuditRecord[];
	/** The manifest in force, or undefined if none has been accepted yet. */
	getManifest(): ManifestInForce | undefined;
}

/** The page with the metrics of the process. */
export interface IMetricsPage {
	readonly contentType: string;
	render(): Promise<string>;
}
