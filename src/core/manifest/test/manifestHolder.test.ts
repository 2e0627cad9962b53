import fc from 'fast-check';
import { subscribeTo } from '../../../base/common/channel';
import type { AuditRecord, IAuditTrail } from '../../audit/common/auditTrail';
import type { AcceptedManifest, ManifestOffer } from '../common/manifestHolder';
import { ManifestHolder, ManifestState } from '../common/manifestHolder';

type Recorded = Omit<AuditRecord, 'at'>;

function createDocument(name: string): string {
	return JSON.stringify({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name, home: 'kingston' }],
		services: [{ name: 'bookings', kind: 'plain', residency: 'home', repeat: 'idempotent' }],
	});
}

function createHolder(Holder = ManifestHolder): { holder: ManifestHolder; records: Recorded[] } {
	const records: Recorded[] = [];
	const auditTrail = { record: (change: Recorded) => records.push(change) } as unknown as IAuditTrail;
	return { holder: new Holder(document => document, auditTrail), records };
}

function createOffer(version: number, name = 'harbour-hotel'): ManifestOffer {
	return { version, document: createDocument(name), source: 'platform' };
}

const anyOffer = fc.record({
	version: fc.integer({ min: -1, max: 6 }),
	document: fc.constantFrom(createDocument('a'), createDocument('b'), createDocument('Not a name'), '{'),
	source: fc.constantFrom('platform', 'peer entry-2'),
});

const isValid = (offer: ManifestOffer): boolean => offer.version > 0 && /"name":"[ab]"/.test(offer.document);

/** Returns the violation of the property that fast-check finds, or undefined. */
function findViolation(Holder: typeof ManifestHolder): string | undefined {
	const property = fc.property(fc.array(anyOffer), offers => {
		const { holder } = createHolder(Holder);
		for (const [index, offer] of offers.entries()) {
			holder.submit(offer);
			const valid = offers.slice(0, index + 1).filter(isValid);
			const highest = Math.max(...valid.map(other => other.version));
			const first = valid.find(other => other.version === highest);
			const { version, document } = holder.getCurrent() ?? {};
			if (version !== first?.version || document !== first?.document) {
				throw new Error(`v${String(version)} in force instead of v${String(first?.version)}`);
			}
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 9, numRuns: 500 });
	return failed ? String(errorInstance) : undefined;
}

/** Faulty implementation that puts the latest valid offer in force. */
class LastArrivalHolder extends ManifestHolder {
	private last: ManifestOffer | undefined;

	override submit(offer: ManifestOffer): ManifestState {
		this.last = isValid(offer) ? offer : this.last;
		return super.submit(offer);
	}

	override getCurrent(): AcceptedManifest | undefined {
		const current = super.getCurrent();
		return current === undefined ? undefined : { ...current, ...(this.last as AcceptedManifest) };
	}
}

describe('ManifestHolder', () => {
	// Guards against an outdated manifest in force after the platform was restored from a backup, a frozen peer resumed,
	// or versions arrived out of order.
	it('holds the highest valid version that was offered, in any order', () => {
		expect(findViolation(ManifestHolder)).toBeUndefined();
	});

	it('fails the property if the last arrival wins', () => {
		expect(findViolation(LastArrivalHolder)).toContain('in force instead of');
	});

	it('emits each accepted manifest once and records its source', () => {
		const { holder, records } = createHolder();
		const versions: number[] = [];
		subscribeTo(holder.onDidAccept, accepted => versions.push(accepted.version));
		[3, 3, 2, 5].forEach(version => holder.submit(createOffer(version)));
		expect(versions).toEqual([3, 5]);
		expect(records).toMatchObject([
			{ from: 'none', to: 'v3', sign: 'platform' },
			{ from: 'v3', to: 'v5', manifestVersion: 5 },
		]);
	});

	// Guards against replacing a manifest by another document with the same version, which two pipelines that publish at
	// the same time can create. Operators see the conflict in the audit trail and the metrics.
	it('keeps the first of two documents with the same version, counts every offer and reports once', () => {
		const { holder, records } = createHolder();
		holder.submit(createOffer(3, 'a'));
		expect(holder.submit(createOffer(3, 'b'))).toBe(ManifestState.Conflicting);
		expect(holder.submit(createOffer(3, 'b'))).toBe(ManifestState.Conflicting);
		expect(holder.getCurrent()?.document).toBe(createDocument('a'));
		expect(holder.countOffers(ManifestState.Conflicting)).toBe(2);
		expect(records.filter(record => record.subject === 'manifest v3 refused')).toHaveLength(1);
	});

	it('checks a rejected document once and records its errors once', () => {
		const { holder, records } = createHolder();
		const parse = jest.spyOn(JSON, 'parse');
		const states = [1, 2].map(() => holder.submit(createOffer(1, 'Bad')));
		expect(parse).toHaveBeenCalledTimes(1);
		expect(states).toEqual([ManifestState.Invalid, ManifestState.Invalid]);
		expect(holder.submit(createOffer(1.5))).toBe(ManifestState.Invalid);
		expect(records.map(record => record.sign)).toEqual([
			expect.stringContaining('organisations[0].name'),
			expect.stringContaining('not a whole number'),
		]);
	});

	it('keeps a bounded number of rejected documents and drops the oldest', () => {
		const { holder, records } = createHolder();
		const offers = Array.from({ length: 65 }, (_, index) => createOffer(index + 1, 'Bad'));
		[...offers, offers[64]!, offers[0]!].forEach(offer => holder.submit(offer));
		expect(records).toHaveLength(66);
	});
});
