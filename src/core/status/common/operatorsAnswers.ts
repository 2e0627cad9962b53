/**
 * The JSON answers of the operators' port besides the status: the audit trail, the record of a request, the manifest
 * in force and errors.
 */

import { z } from 'zod';
import type { AuditRecord } from '../../audit/common/auditTrail';
import type { RequestRecord } from '../../explain/common/requestJournal';

/** A record of the audit trail, as served by `/v1/trail`. */
export const trailRecordSchema = z.object({
	sequence: z.number(),
	/** In ISO 8601 format, by the wall clock of the process. */
	at: z.string(),
	kind: z.string(),
	subject: z.string(),
	from: z.string(),
	to: z.string(),
	sign: z.string(),
	manifestVersion: z.number().nullable(),
});

export const trailAnswerSchema = z.object({
	instance: z.string(),
	/** Changes at each start of the process. Sequence numbers then start at 1 again, so readers must start over. */
	boot: z.string(),
	records: z.array(trailRecordSchema),
});

/** The record of a request, as served by `/v1/explain/{id}`. */
export const explainAnswerSchema = z.object({
	instance: z.string(),
	id: z.string(),
	at: z.string(),
	service: z.string(),
	organisation: z.string(),
	requestClass: z.string(),
	steps: z.array(z.object({ sinceArrivalMs: z.number(), step: z.string(), detail: z.string() })),
});

/** The manifest in force, as served by `/v1/manifest`. */
export const manifestAnswerSchema = z.object({
	version: z.number(),
	digest: z.string(),
	document: z.unknown(),
});

/** The error codes of the operators' port. */
export enum OperatorsErrorCode {
	UnknownRoute = 'unknown-route',
	MethodNotAllowed = 'method-not-allowed',
	MalformedQuery = 'malformed-query',
	RequestNotKept = 'request-not-kept',
	NoManifest = 'no-manifest',
	Internal = 'internal',
}

export const operatorsErrorAnswerSchema = z.object({
	error: z.enum(OperatorsErrorCode),
	message: z.string(),
});

export type TrailRecord = z.output<typeof trailRecordSchema>;
export type TrailAnswer = z.output<typeof trailAnswerSchema>;
export type ExplainAnswer = z.output<typeof explainAnswerSchema>;
export type ManifestAnswer = z.output<typeof manifestAnswerSchema>;
export type OperatorsErrorAnswer = z.output<typeof operatorsErrorAnswerSchema>;

export function createTrailRecord(record: AuditRecord): TrailRecord {
	return {
		...record,
		at: record.at.toISOString(),
		manifestVersion: record.manifestVersion ?? null,
	};
}

export function createExplainAnswer(instance: string, record: RequestRecord): ExplainAnswer {
	const { id, at, service, organisation, requestClass, entries } = record;
	return { instance, id, at: at.toISOString(), service, organisation, requestClass, steps: [...entries] };
}
