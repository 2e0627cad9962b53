import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { KeyDigest } from '../../../../core/ids/common/ids';
import { computeDigestOf, createKeyDigests } from '../../../node/keys/test/keyDigestFixtures';
import type { RawHead } from '../../callers/callHead';
import { resolveKeyOwner } from '../callerKey';
import type { IKeyDigests } from '../keyDigests';
import { createKeyedHead, createKeyIndex, hotelKey, officeKey } from './keyFixtures';

const path = '/plan/2f';
const index = createKeyIndex();

/** Returns the name of the request's organisation, `none`, or the kind of the refusal. */
function resolveName(
	raw: RawHead,
	isPublic = false,
	manifest = index,
	digests: IKeyDigests = createKeyDigests(),
): string {
	return resolveKeyOwner(raw, manifest, isPublic, digests).match(
		owner => owner?.organisation.name ?? 'none',
		error => error.kind,
	);
}

function createForwarded(digest: KeyDigest | undefined): RawHead {
	return { ...createKeyedHead(path, []), forwardedKey: { digest } };
}

/** Counts the keys that are hashed. */
function createCountingDigests(): IKeyDigests & { hashed: number; kept: string[] } {
	return {
		hashed: 0,
		kept: [],
		computeDigest(key) {
			this.hashed++;
			return computeDigestOf(key);
		},
		keep(key) {
			this.kept.push(key);
		},
	};
}

describe('the key of a request', () => {
	// Guards against callers that are refused because their libraries write the scheme or blanks differently.
	it.each([
		`Bearer ${hotelKey}`,
		`bearer ${hotelKey}`,
		`BEARER ${hotelKey}`,
		`bEaReR     ${hotelKey}`,
		`  Bearer \t ${hotelKey} \t `,
		`Bearer\t${hotelKey}`,
	])('is read from %j', value => {
		expect(resolveName(createKeyedHead(path, [value]))).toBe('harbour-hotel');
	});

	// Guards against requests that are served without a key of an organisation.
	it.each([
		['no header', []],
		['an empty header', ['']],
		['the scheme alone', ['Bearer']],
		['a scheme with blanks only', ['Bearer   \t ']],
		['no blank after the scheme', [`Bearer${hotelKey}`]],
		['a colon after the scheme', [`Bearer: ${hotelKey}`]],
		['the key alone', [hotelKey]],
		['another scheme', [`Basic ${hotelKey}`]],
		['an unknown key', ['Bearer sk-unknown']],
		['a key in another case', [`Bearer ${hotelKey.toUpperCase()}`]],
		['the beginning of a key', [`Bearer ${hotelKey.slice(0, -1)}`]],
		['two keys in one header', [`Bearer ${hotelKey}, Bearer ${officeKey}`]],
		['a key and more text', [`Bearer ${hotelKey} x`]],
		['two headers with two keys', [`Bearer ${hotelKey}`, `Bearer ${officeKey}`]],
		['the same header twice', [`Bearer ${hotelKey}`, `Bearer ${hotelKey}`]],
		['an empty header and one with a key', ['', `Bearer ${hotelKey}`]],
		['the digest of a key', [`Bearer ${computeDigestOf(hotelKey)}`]],
	])('is refused with %s', (_, values) => {
		expect(resolveName(createKeyedHead(path, values))).toBe(ErrorKind.KeyUnknown);
	});

	// Guards against a key that appears in the journal, in logs or in answers, all of which contain the error's detail.
	it('is not part of the error', () => {
		const values = [['Bearer sk-unknown'], ['Bearersk-unknown'], ['Bearer a', 'Bearer sk-unknown']];
		for (const value of values) {
			const error = resolveKeyOwner(createKeyedHead(path, value), index, false, createKeyDigests());
			expect(JSON.stringify(error._unsafeUnwrapErr())).not.toContain('sk-unknown');
		}
	});

	// Node reads each byte of a header as one character. The last byte of the key is 0xa0, which `String.trim` removes.
	it('may contain characters that are not ASCII', () => {
		const key = 'clé-à';
		const organisations = [{ name: 'callers', home: 'kingston', keys: [computeDigestOf(key)] }];
		const value = `Bearer ${Buffer.from(key, 'utf8').toString('latin1')}`;
		expect(resolveName(createKeyedHead(path, [value]), false, createKeyIndex({ organisations }))).toBe(
			'callers',
		);
	});

	// Guards against a flood of unknown keys that displaces the keys in use from the cache, and against work for requests
	// that have no readable key.
	it('is hashed once at most, and kept only if an organisation has it', () => {
		const digests = createCountingDigests();
		resolveName(createKeyedHead(path, ['Bearer sk-unknown']), false, index, digests);
		expect([digests.hashed, digests.kept]).toEqual([1, []]);
		resolveName(createKeyedHead(path, [`Bearer ${hotelKey}`]), false, index, digests);
		expect([digests.hashed, digests.kept]).toEqual([2, [hotelKey]]);
		resolveName(createKeyedHead(path, []), false, index, digests);
		resolveName(createKeyedHead(path, ['Bearer a', 'Bearer b']), false, index, digests);
		expect(digests.hashed).toBe(2);
	});

	it('is not read where the manifest requires no keys', () => {
		const digests = createCountingDigests();
		const open = createKeyIndex({ requiresKeys: false });
		expect(resolveName(createKeyedHead(path, [`Bearer ${hotelKey}`]), false, open, digests)).toBe('none');
		expect(digests.hashed).toBe(0);
	});
});

describe('the key of a request on a public route', () => {
	it.each([
		['a known key', [`Bearer ${hotelKey}`], 'harbour-hotel'],
		['no key', [], 'none'],
		['an unknown key', ['Bearer sk-unknown'], 'none'],
		['another scheme', [`Basic ${hotelKey}`], 'none'],
		['two keys', [`Bearer ${hotelKey}`, `Bearer ${officeKey}`], 'none'],
	])('identifies its organisation or none: %s', (_, values, expected) => {
		expect(resolveName(createKeyedHead('/open/1', values), true)).toBe(expected);
	});
});

describe('the key of a forwarded request', () => {
	it('is confirmed by the receiver, which takes the organisation of its own manifest', () => {
		const keys = [computeDigestOf(hotelKey)];
		const renamed = createKeyIndex({ organisations: [{ name: 'hotel-group', home: 'kingston', keys }] });
		const raw = createForwarded(computeDigestOf(hotelKey));
		expect([resolveName(raw), resolveName(raw, false, renamed)]).toEqual(['harbour-hotel', 'hotel-group']);
	});

	// Guards against a request that runs with a withdrawn key, or is refused with 401, because its receiver has another
	// version of the manifest than its sender.
	it('is refused as unconfirmed if the manifest does not contain it', () => {
		const raw = createForwarded(computeDigestOf('sk-unknown'));
		const open = createKeyIndex({
			requiresKeys: false,
			organisations: [{ name: 'callers', home: 'kingston' }],
		});
		const answers = [resolveName(raw), resolveName(raw, true), resolveName(raw, false, open)];
		expect(answers).toEqual(Array(3).fill(ErrorKind.KeyUnconfirmed));
	});

	// Guards against a request that is served without a key, because its sender has a manifest that requires none.
	it('may be missing only where the receiver requires none', () => {
		const raw = createForwarded(undefined);
		const open = createKeyIndex({ requiresKeys: false });
		expect(resolveName(raw)).toBe(ErrorKind.KeyUnconfirmed);
		expect([resolveName(raw, true), resolveName(raw, false, open)]).toEqual(['none', 'none']);
	});

	// Guards against an entry that passes a caller's header on, which its receiver must not take for a key.
	it('is not read from a header', () => {
		const raw = { ...createKeyedHead(path, [`Bearer ${hotelKey}`]), forwardedKey: { digest: undefined } };
		expect(resolveName(raw)).toBe(ErrorKind.KeyUnconfirmed);
	});
});
