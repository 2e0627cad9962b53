import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { AttemptId, RequestId, TargetId } from '../../../../core/ids/common/ids';
import { computeDigestOf, createKeyDigests } from '../../../node/keys/test/keyDigestFixtures';
import type { CallHead, HeaderLine, RawHead } from '../../callers/callHead';
import { findHeader } from '../../callers/callHead';
import { createKeyIndex, hotelKey } from '../../keys/test/keyFixtures';
import { NativeCallerDialect } from '../nativeCallerDialect';
import { NativeTargetDialect } from '../nativeTargetDialect';

const callers = new NativeCallerDialect(createKeyDigests());
const key = { name: 'authorization', value: `Bearer ${hotelKey}` };

function createOrganisation(value: string): HeaderLine {
	return { name: 'anvilroad-organisation', value };
}

function createRaw(lines: readonly HeaderLine[], url = '/v1/services/rounds/plan'): RawHead {
	return { method: 'POST', url, lines };
}

function readKind(raw: RawHead): string {
	return callers.readHead(raw, createKeyIndex()).match(
		head => head.organisation,
		error => error.kind,
	);
}

function listSentLines(head: CallHead): readonly HeaderLine[] {
	return new NativeTargetDialect().createRequestLines({
		requestId: 'r',
		attemptId: 'r.1' as AttemptId,
		target: 'rounds-1' as TargetId,
		head,
		remainingMs: 1_000,
		lastEventId: undefined,
		fetchAddress: undefined,
	});
}

describe('the native interface where keys are required', () => {
	it('takes the organisation of the key, with or without the header that names it', () => {
		expect(readKind(createRaw([key]))).toBe('harbour-hotel');
		expect(readKind(createRaw([key, createOrganisation('harbour-hotel')]))).toBe('harbour-hotel');
	});

	// Guards against requests that are counted for another organisation than the caller expects.
	it.each([
		[['bay-offices']],
		[['']],
		[['harbour-hotel', 'bay-offices']],
		[['bay-offices', 'harbour-hotel']],
	])('refuses a key with the organisation header %j', names => {
		expect(readKind(createRaw([key, ...names.map(createOrganisation)]))).toBe(ErrorKind.OrganisationUnknown);
	});

	it('refuses a request that only names an organisation, or has an unknown key', () => {
		expect(readKind(createRaw([createOrganisation('harbour-hotel')]))).toBe(ErrorKind.KeyUnknown);
		expect(readKind(createRaw([{ name: 'authorization', value: 'Bearer x' }]))).toBe(ErrorKind.KeyUnknown);
	});

	it('reports an unknown path or service before the key', () => {
		expect(readKind(createRaw([], '/nowhere'))).toBe(ErrorKind.UnknownRoute);
		expect(readKind(createRaw([], '/v1/services/none/x'))).toBe(ErrorKind.UnknownService);
	});

	// Guards against a target that gets keys of callers, or the name that a caller gave itself.
	it('sends targets the name of the organisation, and no key', () => {
		const head = callers.readHead(createRaw([key]), createKeyIndex())._unsafeUnwrap();
		expect(head.keyDigest).toBe(computeDigestOf(hotelKey));
		const lines = listSentLines(head);
		expect(findHeader(lines, 'anvilroad-organisation')).toBe('harbour-hotel');
		expect(JSON.stringify(lines)).not.toContain(hotelKey);
		expect(findHeader(lines, 'authorization')).toBeUndefined();
	});

	it('names the scheme in the answer to an unknown key, and in no other answer', () => {
		const refuse = (kind: ErrorKind): string | undefined =>
			findHeader(
				callers.createRefusal('r' as RequestId, createRequestError(kind, '')).lines,
				'www-authenticate',
			);
		expect(callers.createRefusal('r' as RequestId, createRequestError(ErrorKind.KeyUnknown, '')).status).toBe(
			401,
		);
		expect([refuse(ErrorKind.KeyUnknown), refuse(ErrorKind.KeyUnconfirmed)]).toEqual(['Bearer', undefined]);
	});
});

describe('the native interface where no keys are required', () => {
	it('passes Authorization on, and needs the organisation header', () => {
		const index = createKeyIndex({ requiresKeys: false });
		const head = callers.readHead(createRaw([key, createOrganisation('bay-offices')]), index)._unsafeUnwrap();
		expect([head.organisation, head.keyDigest]).toEqual(['bay-offices', undefined]);
		expect(findHeader(listSentLines(head), 'authorization')).toBe(key.value);
		expect(callers.readHead(createRaw([key]), index)._unsafeUnwrapErr().kind).toBe(
			ErrorKind.OrganisationMissing,
		);
	});
});
