import type { DestinationStream } from 'pino';
import { AuditKind } from '../../audit/common/auditTrail';
import { RingAuditTrail } from '../../audit/common/ringAuditTrail';
import { createLogger, writeAuditLines } from '../node/logger';

function createDestination(lines: unknown[]): DestinationStream {
	return { write: line => lines.push(JSON.parse(line)) };
}

describe('writeAuditLines', () => {
	it('writes one line with the record for each audit record', () => {
		const lines: unknown[] = [];
		const trail = new RingAuditTrail(4, () => new Date(0));
		const subscription = writeAuditLines(createLogger('entry-1', 'info', createDestination(lines)), trail);
		const change = {
			kind: AuditKind.Target,
			subject: 'bookings-1',
			from: 'serving',
			to: 'failed',
			sign: 'connect refused',
			manifestVersion: undefined,
		};
		trail.record(change);
		subscription.dispose();
		trail.record(change);
		expect(lines).toHaveLength(1);
		expect(lines[0]).toMatchObject({
			name: 'entry-1',
			msg: 'target bookings-1: serving -> failed (connect refused)',
			audit: { sequence: 1, at: '1970-01-01T00:00:00.000Z', to: 'failed' },
		});
	});
});
