import fc from 'fast-check';
import { subscribeTo } from '../../../base/common/channel';
import type { AuditRecord, IAuditTrail } from '../../audit/common/auditTrail';
import type { ManifestOffer } from '../common/manifestHolder';
import { ManifestHolder, ManifestState } from '../common/manifestHolder';

type Recorded = Omit<AuditRecord, 'at'>;

function createDocument(name: string): string {
	return JSON.stringify({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name, home: 'kingston' }],
		services: [{ name: 'bookings', kind: 'plain', residency: 'home', repeat: 'idempotent' }],
	});
}

function createHolder(): { holder: ManifestHolder; records: Recorded[] } {
	const records: Recorded[] = [];
	const auditTrail = { record: (change: Recorded) => records.push(change) } as unknown as IAuditTrail;
	return { holder: new ManifestHolder(document => document, auditTrail), records };
}

function createOffer(version: number, name = 'harbour-hotel'): ManifestOffer {
	return { version, document: createDocument(name), source: 'platform' };
}

const anyOffer = fc.record({
	version: fc.integer({ min: -1, max: 6 }),
	document: fc.constantFrom(createDocument('a'), createDocument('b'), createDocument('Not a name'), '{'),
	source: fc.constantFrom('platform', 'peer entry-2'),
});

/** Takes what came last, as a holder does that trusts the platform's present answer. */
class LastArrivalHolder extends ManifestHolder {
	private last: ManifestOffer | undefined;

	override submit(offer: ManifestOffer): ManifestState {
		this.last = offer;
		return super.submit(offer);
	}

	override getCurrent(): ReturnType<ManifestHolder['getCurrent']> {
		const current = super.getCurrent();
		return current === undefined ? undefined : ({ ...current, ...this.last } as typeof current);
	}
}

function checkNeverBackward(createSubject: () => Pick<ManifestHolder, 'submit' | 'getCurrent'>): void {
	const isValid = (offer: ManifestOffer): boolean =>
		offer.version > 0 && /"name":"[ab]"/.test(offer.document);
	fc.assert(
		fc.property(fc.array(anyOffer), offers => {
			const holder = createSubject();
			for (const [index, offer] of offers.entries()) {
				holder.submit(offer);
				const valid = offers.slice(0, index + 1).filter(isValid);
				const highest = Math.max(...valid.map(other => other.version));
				const first = valid.find(other => other.version === highest);
				expect(holder.getCurrent()?.version).toBe(first?.version);
				expect(holder.getCurrent()?.document).toBe(first?.document);
			}
		}),
		{ seed: 9, numRuns: 500 },
	);
}

describe('ManifestHolder', () => {
	// The platform is restored from a backup, a peer wakes with an old manifest, versions overtake each
	// other. If the order of arrival counted, a withdrawn rule would be in force again.
	it('holds the highest valid version that was ever offered, in any order', () => {
		checkNeverBackward(() => createHolder().holder);
	});

	it('is found wrong if the last arrival wins', () => {
		const trail = { record: () => undefined } as unknown as IAuditTrail;
		expect(() => {
			checkNeverBackward(() => new LastArrivalHolder(document => document, trail));
		}).toThrow('Property failed');
	});

	it('tells each accepted manifest once and records where it came from', () => {
		const { holder, records } = createHolder();
		const told: number[] = [];
		subscribeTo(holder.onDidAccept, accepted => told.push(accepted.version));
		[3, 3, 2, 5].forEach(version => holder.submit(createOffer(version)));
		expect(told).toEqual([3, 5]);
		expect(records).toMatchObject([
			{ from: 'none', to: 'v3', sign: 'platform' },
			{ from: 'v3', to: 'v5', manifestVersion: 5 },
		]);
	});

	// Two pipelines publish at once and both documents get the same number. Some entries hold one, some the
	// other; an operator learns it from the audit trail and the counter.
	it('keeps its own of two documents with one version, counts every offer and reports once', () => {
		const { holder, records } = createHolder();
		holder.submit(createOffer(3, 'a'));
		expect(holder.submit(createOffer(3, 'b'))).toBe(ManifestState.Conflicting);
		expect(holder.submit(createOffer(3, 'b'))).toBe(ManifestState.Conflicting);
		expect(holder.getCurrent()?.document).toBe(createDocument('a'));
		expect(holder.countOffers(ManifestState.Conflicting)).toBe(2);
		expect(records.filter(record => record.subject === 'manifest v3 refused')).toHaveLength(1);
	});

	it('names the faults of a refused document once', () => {
		const { holder, records } = createHolder();
		expect([holder.submit(createOffer(1, 'Bad')), holder.submit(createOffer(1, 'Bad'))]).toEqual([
			ManifestState.Invalid,
			ManifestState.Invalid,
		]);
		expect(holder.submit(createOffer(1.5))).toBe(ManifestState.Invalid);
		expect(records.map(record => record.sign)).toEqual([
			expect.stringContaining('organisations[0].name'),
			expect.stringContaining('not a whole number'),
		]);
	});
});
