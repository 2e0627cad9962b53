/**
 * Writes audit records as lines of the log.
 */

import type { Logger } from 'pino';
import type { AuditRecorder } from '../common/orderAudit';

type AuditChange = Parameters<AuditRecorder['record']>[0];

/** One line for each record. */
export class LogAuditRecorder implements AuditRecorder {
	constructor(private readonly logger: Logger) {}

	record(change: AuditChange): void {
		const { kind, subject, from, to, sign } = change;
		this.logger.info({ audit: change }, `${kind} ${subject}: ${from} -> ${to} (${sign})`);
	}
}
