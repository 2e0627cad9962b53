import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { KeyDigest } from '../../../../core/ids/common/ids';
import { computeMaxDelayMs, computeMaxKeyAgeMs, findKeyRefusal } from '../keyConfirmation';
import { knownKey, ScriptedKeys, withdrawnWithinMs } from './scriptedKeys';

const maxAgeMs = computeMaxKeyAgeMs(withdrawnWithinMs);
const otherKey = 'b2'.repeat(32) as KeyDigest;

function createKeys(state: Partial<ScriptedKeys> = {}): ScriptedKeys {
	return Object.assign(new ScriptedKeys(), state);
}

describe('the check of a key', () => {
	it('accepts a known key up to the limit of the age', () => {
		expect(createKeys({ ageMs: maxAgeMs }).findRefusal({ keyDigest: knownKey })).toBeUndefined();
	});

	// Guards against a withdrawn key that works for longer than the bound.
	it('refuses a known key beyond it as unconfirmed, with the time of the next read', () => {
		const refusal = createKeys({ ageMs: maxAgeMs + 1, nextReadInMs: 417.2 }).findRefusal({
			keyDigest: knownKey,
		});
		expect(refusal).toMatchObject({ kind: ErrorKind.KeyUnconfirmed, retryAfterMs: 418 });
	});

	// Guards against callers with a valid new key that discard it, because an entry does not know it yet.
	it('never refuses a key as unknown while the knowledge is too old or missing', () => {
		for (const ageMs of [maxAgeMs + 1, undefined]) {
			const refusal = createKeys({ ageMs }).findRefusal({ keyDigest: otherKey });
			expect(refusal?.kind).toBe(ErrorKind.KeyUnconfirmed);
		}
		const knowledge = { ageMs: 0, nextReadInMs: 0 };
		expect(findKeyRefusal({ keyDigest: knownKey }, undefined, knowledge, maxAgeMs)?.kind).toBe(
			ErrorKind.KeyUnconfirmed,
		);
	});

	it('refuses a key that the manifest does not have as unknown', () => {
		expect(createKeys().findRefusal({ keyDigest: otherKey })?.kind).toBe(ErrorKind.KeyUnknown);
		expect(createKeys({ isWithdrawn: true }).findRefusal({ keyDigest: knownKey })?.kind).toBe(
			ErrorKind.KeyUnknown,
		);
	});

	it('never refuses a request without a key', () => {
		expect(createKeys({ ageMs: undefined, isWithdrawn: true }).findRefusal({})).toBeUndefined();
	});
});

describe('the limits for a bound', () => {
	it('leave the margin of the design note', () => {
		expect(maxAgeMs).toBe(4_807);
	});

	// Guards against a bound that changes the delays of deployments with a shorter one, or without the bound.
	it('lower the longest delay of a change, and never raise it', () => {
		expect(computeMaxDelayMs(5_000, withdrawnWithinMs)).toBe(3_000);
		expect(computeMaxDelayMs(2_000, withdrawnWithinMs)).toBe(2_000);
		expect(computeMaxDelayMs(5_000, undefined)).toBe(5_000);
	});
});
