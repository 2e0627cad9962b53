/**
 * Answers `/v1/trail`. The format is the same for all programs, so that one command can read every audit trail.
 */

import type { AuditRecord } from '../../audit/common/auditTrail';
import { createTrailRecord, OperatorsErrorCode } from '../../status/common/operatorsAnswers';
import type { TrailAnswer } from '../../status/common/operatorsAnswers';
import type { OperatorsAnswer } from './operatorsAnswer';
import { createErrorAnswer, createJsonAnswer } from './operatorsAnswer';

/** An audit trail and the process that it belongs to. */
export interface TrailSource {
	readonly instance: string;
	readonly boot: string;
	/** The newest records, oldest first. */
	readonly listTrail: (maxRecords: number) => readonly AuditRecord[];
}

const defaultTrailRecords = 100;
const maxTrailRecords = 10_000;

/** @param query `most` limits the number of records; `after` skips records up to a sequence number. */
export function answerTrail(query: URLSearchParams, source: TrailSource): OperatorsAnswer {
	const maxRecords = parseCount(query.get('most'), defaultTrailRecords, maxTrailRecords);
	const after = parseCount(query.get('after'), 0, Number.MAX_SAFE_INTEGER);
	if (maxRecords === undefined || after === undefined) {
		return createErrorAnswer(
			OperatorsErrorCode.MalformedQuery,
			`most is a whole number up to ${maxTrailRecords}; after is a record's sequence.`,
		);
	}
	const records = source
		.listTrail(maxRecords)
		.filter(record => record.sequence > after)
		.map(createTrailRecord);
	const answer: TrailAnswer = { instance: source.instance, boot: source.boot, records };
	return createJsonAnswer(200, answer);
}

/** Parses an integer of a query; undefined if the text is not an integer from 0 to `max`. */
function parseCount(text: string | null, fallback: number, max: number): number | undefined {
	if (text === null) {
		return fallback;
	}
	const count = Number(text);
	return /^\d+$/.test(text) && count <= max ? count : undefined;
}
