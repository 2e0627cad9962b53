import { createHash } from 'node:crypto';
import type { OrganisationName, TargetId } from '../../../core/ids/common/ids';
import type { Manifest } from '../../../core/manifest/common/manifest';
import { checkManifest } from '../../../core/manifest/common/manifest';
import type { LimitStatus } from '../../common/limits/sharedLimits';
import { SlownessSource } from '../../common/scheduling/serviceScheduler';
import { describeKeyKnowledge, describeOrganisations, describeSlowness } from '../organisationsSource';

const digest = createHash('sha256').update('a key').digest('hex');
const limit = { unit: 'requests', perSecond: 20, burst: 5 };

function createManifest(): Manifest {
	return checkManifest({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [
			{ name: 'limited', home: 'kingston', homes: ['kingston'], priority: 2, keys: [digest], limit },
			{ name: 'plain', home: 'kingston' },
		],
		services: [{ name: 'bookings', kind: 'plain', residency: 'home', repeat: 'at-most-once' }],
	})._unsafeUnwrap();
}

function createLimitStatus(manifest: Manifest): LimitStatus {
	return {
		organisation: 'limited' as OrganisationName,
		limit: manifest.organisations[0]!.limit!,
		ownDemand: 3.333_33,
		fleetDemand: 80,
		fraction: 0.25,
		answerAgeMs: 310.4,
	};
}

describe('describeOrganisations', () => {
	it('describes limits, their use, keys and homes', () => {
		const manifest = createManifest();
		expect(describeOrganisations(manifest, [createLimitStatus(manifest)])).toEqual([
			{
				organisation: 'limited',
				homes: ['kingston'],
				priority: 2,
				keys: 1,
				limit,
				use: { ownDemand: 3.333, fleetDemand: 80, fraction: 0.25, answerAgeMs: 310 },
			},
			{ organisation: 'plain', homes: [], priority: null, keys: 0, limit: null, use: null },
		]);
	});

	// Guards against digests in the answer: a digest allows guesses at a short key to be checked.
	it('contains no digest of a key', () => {
		expect(JSON.stringify(describeOrganisations(createManifest(), []))).not.toContain(digest);
	});
});

describe('describeKeyKnowledge', () => {
	it('has the age and its limit, or null without a bound', () => {
		expect(describeKeyKnowledge(undefined)).toBeNull();
		const ages = { getAgeMs: () => 1_200.6, getMaxAgeMs: () => 4_807.9 };
		expect(describeKeyKnowledge(ages)).toEqual({ ageMs: 1_201, maxAgeMs: 4_807 });
		expect(describeKeyKnowledge({ ...ages, getAgeMs: () => undefined })).toMatchObject({ ageMs: null });
	});
});

describe('describeSlowness', () => {
	it('rounds the estimates and has no age without a report', () => {
		const slowness = {
			target: 'engine-1' as TargetId,
			lasting: 1.234_56,
			recent: 2,
			correction: 1.234_56,
			source: SlownessSource.AnswerTimes,
			reportAgeMs: undefined,
		};
		expect(describeSlowness('model', slowness)).toEqual({
			id: 'engine-1',
			service: 'model',
			lasting: 1.235,
			recent: 2,
			correction: 1.235,
			source: 'answer-times',
			reportAgeMs: null,
		});
	});
});
