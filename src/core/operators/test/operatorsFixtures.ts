/**
 * Creates test data and fakes for tests of the operators' port.
 */

import type { AuditRecord } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import { JournalStep } from '../../explain/common/requestJournal';
import type { RequestRecord } from '../../explain/common/requestJournal';
import type { ManifestVersion, RequestId } from '../../ids/common/ids';
import type { EntryStatus } from '../../status/common/entryStatus';
import type { OrganisationsAnswer, SlownessAnswer } from '../../status/common/organisationsStatus';
import type { IMetricsPage, IOperatorsSource } from '../common/operatorsSource';

export function createStatus(overrides: Partial<EntryStatus> = {}): EntryStatus {
	return {
		instance: 'entry-kingston-1',
		boot: 'b7c1',
		region: 'kingston',
		zone: 'kingston-a',
		version: '0.1.0',
		uptimeMs: 61_000,
		readiness: { isReady: true, reasons: [] },
		isLeaving: false,
		manifest: { version: 12, digest: 'ab12', ageMs: 3_000 },
		platform: { lastReadAgeMs: 900 },
		peers: [],
		targets: [],
		services: [],
		ticketsOutstanding: 4,
		heldBytes: 0,
		mostHeldBytes: 268_435_456,
		...overrides,
	};
}

export function createOrganisations(overrides: Partial<OrganisationsAnswer> = {}): OrganisationsAnswer {
	return {
		instance: 'entry-kingston-1',
		manifestVersion: 12,
		requiresKeys: false,
		keyKnowledge: null,
		organisations: [],
		...overrides,
	};
}

export function createSlowness(overrides: Partial<SlownessAnswer> = {}): SlownessAnswer {
	return { instance: 'entry-kingston-1', targets: [], ...overrides };
}

export function createRecord(sequence: number): AuditRecord {
	return {
		sequence,
		at: new Date(sequence * 1_000),
		kind: AuditKind.Target,
		subject: 'bookings-1',
		from: 'serving',
		to: 'failed',
		sign: 'connect refused',
		manifestVersion: 12 as ManifestVersion,
	};
}

export function createRequestRecord(id: RequestId): RequestRecord {
	return {
		id,
		at: new Date(0),
		service: 'bookings',
		organisation: 'harbour-hotel',
		requestClass: 'urgent',
		entries: [{ sinceArrivalMs: 0, step: JournalStep.Received, detail: 'POST /visits' }],
	};
}

export function createSource(overrides: Partial<IOperatorsSource> = {}): IOperatorsSource {
	return {
		getReadiness: () => ({ isReady: true, reasons: [] }),
		getStatus: () => createStatus(),
		getOrganisations: () => createOrganisations(),
		getSlowness: () => createSlowness(),
		findRecord: id => (id === 'known' ? createRequestRecord(id) : undefined),
		listTrail: maxRecords => [1, 2, 3].slice(-maxRecords).map(createRecord),
		getManifest: () => ({ version: 12 as ManifestVersion, digest: 'ab12', text: '{"regions": []}' }),
		...overrides,
	};
}

export function createMetricsPage(): IMetricsPage {
	return { contentType: 'text/plain; version=0.0.4', render: () => Promise.resolve('anvilroad_ready 1\n') };
}
