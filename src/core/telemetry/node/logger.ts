/**
 * The log: one JSON line for each change of state, on standard output. What happens often is counted by
 * metrics and never logged a request at a time, so the log stays readable when an entry is busiest.
 */

import type { DestinationStream, Logger } from 'pino';
import pino from 'pino';
import { subscribeTo } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import type { DecisionLine, IDecisionLog } from '../../explain/common/loggedJournal';
import type { logLevels } from '../../settings/common/entrySettings';

export type LogLevel = (typeof logLevels)[number];

/**
 * Bytes of log that wait for a reader of standard output. When that reader stalls, a synchronous write
 * would stop the one loop and with it every request; an unbounded buffer would take the memory. Beyond
 * this bound lines are dropped, which shows as gaps in the log's audit sequence.
 */
const mostWaitingBytes = 1_048_576;

/**
 * Lines are written together, this many bytes or milliseconds of them at a time. Each write wakes a thread of the
 * pool: at ten requests a second of five lines each, fifty times a second where two writes hold the same lines.
 */
const leastWriteBytes = 8_192;
const longestHoldMs = 1_000;

function openStandardOutput(): DestinationStream {
	return pino.destination({
		dest: 1,
		sync: false,
		minLength: leastWriteBytes,
		periodicFlush: longestHoldMs,
		maxLength: mostWaitingBytes,
	});
}

/** Makes the log of a process; `name` stands in each line, as `anvilroad-entry kingston-1`. */
export function createLogger(
	name: string,
	level: LogLevel,
	destination: DestinationStream = openStandardOutput(),
): Logger {
	return pino({ name, level, timestamp: pino.stdTimeFunctions.isoTime }, destination);
}

/** Writes decisions on requests as lines with one `decision` object. */
export class DecisionLogger implements IDecisionLog {
	constructor(private readonly logger: Logger) {}

	writeDecision(line: DecisionLine): void {
		this.logger.info({ decision: line }, 'decision');
	}

	writeOmitted(lines: number): void {
		this.logger.warn({ omitted: lines }, 'decisions left out of the log');
	}
}

/** Writes each record of the trail as a line with one `audit` object, until disposed of. */
export function writeAuditLines(logger: Logger, trail: IAuditTrail): IDisposable {
	return subscribeTo(trail.onDidRecord, record => {
		const { kind, subject, from, to, sign } = record;
		logger.info({ audit: record }, `${kind} ${subject}: ${from} -> ${to} (${sign})`);
	});
}
