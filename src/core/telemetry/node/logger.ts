/**
 * The log: one JSON line for each state change, on standard output. Frequent events are counted by metrics and not
 * logged for each request, so that the log stays readable under high load.
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
 * Bytes of log lines buffered for the reader of standard output. If that reader stalls, a synchronous write would
 * block the event loop and every request, and an unbounded buffer would exhaust the memory. Lines that exceed the
 * limit are dropped, which is visible as gaps in the sequence numbers of the audit lines.
 */
const maxBufferedBytes = 1_048_576;

/**
 * Lines are written in batches when this many bytes are buffered or this many milliseconds have passed. Each write
 * wakes a thread of the pool. At ten requests a second with five lines each, unbatched writes wake a thread fifty
 * times a second, while two writes can hold the same lines.
 */
const minWriteBytes = 8_192;
const maxFlushDelayMs = 1_000;

function openStandardOutput(): DestinationStream {
	return pino.destination({
		dest: 1,
		sync: false,
		minLength: minWriteBytes,
		periodicFlush: maxFlushDelayMs,
		maxLength: maxBufferedBytes,
	});
}

/** Creates the logger of a process; each line contains `name`, such as `anvilroad-entry kingston-1`. */
export function createLogger(
	name: string,
	level: LogLevel,
	destination: DestinationStream = openStandardOutput(),
): Logger {
	return pino({ name, level, timestamp: pino.stdTimeFunctions.isoTime }, destination);
}

/** Writes each decision on a request as a line with a `decision` object. */
export class DecisionLogger implements IDecisionLog {
	constructor(private readonly logger: Logger) {}

	writeDecision(line: DecisionLine): void {
		this.logger.info({ decision: line }, 'decision');
	}

	writeOmitted(lines: number): void {
		this.logger.warn({ omitted: lines }, 'decisions left out of the log');
	}
}

/** Writes each record of the audit trail as a line with an `audit` object, until disposed. */
export function writeAuditLines(logger: Logger, trail: IAuditTrail): IDisposable {
	return subscribeTo(trail.onDidRecord, record => {
		const { kind, subject, from, to, sign } = record;
		logger.info({ audit: record }, `${kind} ${subject}: ${from} -> ${to} (${sign})`);
	});
}
