import { fc, test } from '@fast-check/jest';
import { subscribeTo } from '../../../base/common/channel';
import type { ManifestVersion } from '../../ids/common/ids';
import type { AuditChange } from '../common/auditTrail';
import { AuditKind } from '../common/auditTrail';
import { RingAuditTrail } from '../common/ringAuditTrail';

function createChange(subject: string): AuditChange {
	return {
		kind: AuditKind.Target,
		subject,
		from: 'live',
		to: 'leaving',
		sign: 'instance list',
		manifestVersion: 3 as ManifestVersion,
	};
}

function createTrail(capacity: number): RingAuditTrail {
	return new RingAuditTrail(capacity, () => new Date(0));
}

describe('RingAuditTrail', () => {
	test.prop([fc.integer({ min: 1, max: 20 }), fc.nat({ max: 60 }), fc.nat({ max: 60 })], { seed: 6 })(
		'lists the newest records, oldest first, and never more than its capacity',
		(capacity, written, maxRecords) => {
			const trail = createTrail(capacity);
			for (let index = 1; index <= written; index++) {
				trail.record(createChange(`target-${index}`));
			}
			const expected = Array.from({ length: written }, (_, index) => index + 1).slice(-capacity);
			expect(trail.list().map(record => record.sequence)).toEqual(expected);
			expect(trail.list(maxRecords).map(record => record.subject)).toEqual(
				maxRecords === 0 ? [] : expected.slice(-maxRecords).map(sequence => `target-${sequence}`),
			);
		},
	);

	it('emits each record to subscribers until disposed', () => {
		const trail = createTrail(2);
		const seen: string[] = [];
		subscribeTo(trail.onDidRecord, record => seen.push(`${record.sequence} ${record.subject}`));
		trail.record(createChange('target-1'));
		trail.dispose();
		trail.record(createChange('target-2'));
		expect(seen).toEqual(['1 target-1']);
	});
});
