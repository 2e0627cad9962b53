import { ManualTimerService } from '../../../base/common/manualTimerService';
import { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { OrganisationName, RegionName, ServiceName } from '../../../core/ids/common/ids';
import { RepeatRule } from '../../../core/manifest/common/manifest';
import { RequestClass } from '../../../core/requests/common/requestClass';
import type { CallHead } from '../../common/callers/callHead';
import { computeMaxKeyAgeMs } from '../../common/keys/keyConfirmation';
import { knownKey, ScriptedKeys, withdrawnWithinMs } from '../../common/keys/test/scriptedKeys';
import { KeyChecker } from '../keyChecker';
import { createHandlerFixture } from './callHandlerFixtures';

const maxAgeMs = computeMaxKeyAgeMs(withdrawnWithinMs);

const head: CallHead = {
	service: 'bookings' as ServiceName,
	organisation: 'harbour-hotel' as OrganisationName,
	keyDigest: knownKey,
	requestClass: RequestClass.Normal,
	method: 'POST',
	path: '/pay',
	deadlineMs: 30_000,
	prefixKey: undefined,
	ticket: undefined,
	forwardedLines: [],
};

describe('the head of a request with a key', () => {
	// Guards against bodies that are read for requests which cannot be sent.
	it('is refused while the knowledge is too old, and accepted once it is confirmed', () => {
		const keys = new ScriptedKeys();
		const { handler } = createHandlerFixture(RepeatRule.Idempotent, undefined, keys);
		keys.ageMs = maxAgeMs + 1;
		expect(handler.plan(head)._unsafeUnwrapErr().kind).toBe(ErrorKind.KeyUnconfirmed);
		keys.ageMs = 0;
		expect(handler.plan(head).isOk()).toBe(true);
	});

	// Guards against an entry that runs a forwarded request although its own knowledge is too old or lacks the key.
	it('is also refused when another entry forwards the request here', () => {
		const keys = new ScriptedKeys();
		const { handler } = createHandlerFixture(RepeatRule.Idempotent, undefined, keys);
		const from = { hops: 1, region: 'montego' as RegionName };
		keys.ageMs = maxAgeMs + 1;
		expect(handler.planForwarded(head, from)._unsafeUnwrapErr().kind).toBe(ErrorKind.KeyUnconfirmed);
		keys.ageMs = 0;
		keys.isWithdrawn = true;
		expect(handler.planForwarded(head, from)._unsafeUnwrapErr().kind).toBe(ErrorKind.KeyUnknown);
	});
});

describe('a request that was accepted', () => {
	// Guards against a send with a key that was withdrawn while the body was read.
	it.each(['withdrawn', 'too old'])('is not sent if its key is %s when the body is complete', change => {
		const keys = new ScriptedKeys();
		const { flow, send } = createHandlerFixture(RepeatRule.Idempotent, undefined, {
			findRefusal: checked => {
				const refusal = keys.findRefusal(checked);
				keys.isWithdrawn = change === 'withdrawn';
				keys.ageMs = change === 'too old' ? maxAgeMs + 1 : 0;
				return refusal;
			},
		});
		const sink = send(undefined, 'pay', knownKey);
		const kind = change === 'withdrawn' ? ErrorKind.KeyUnknown : ErrorKind.KeyUnconfirmed;
		expect(sink.refusal?.kind).toBe(kind);
		expect(flow.attempts).toEqual([]);
	});

	// Guards against a ticketed call that passes the check by its own way to the issuer of the ticket, or to the targets.
	it.each(['own', 'neighbour'] as const)('is not sent with a ticket of the %s entry either', issuer => {
		const keys = new ScriptedKeys();
		const { flow, issue, send } = createHandlerFixture(RepeatRule.AtMostOnce, undefined, {
			findRefusal: checked => {
				const refusal = keys.findRefusal(checked);
				keys.isWithdrawn = true;
				return refusal;
			},
		});
		const sink = send(issue(issuer), 'pay', knownKey);
		expect(sink.refusal?.kind).toBe(ErrorKind.KeyUnknown);
		expect(flow.attempts).toEqual([]);
	});
});

interface CheckerFixture {
	readonly timers: ManualTimerService;
	readonly checker: KeyChecker;
	readonly lines: string[];
	ageMs: number | undefined;
}

function createChecker(): CheckerFixture {
	const timers = new ManualTimerService();
	const lines: string[] = [];
	const logger = {
		info: (_: object, text: string) => lines.push(`info ${text}`),
		warn: (_: object, text: string) => lines.push(`warn ${text}`),
	};
	const fixture: CheckerFixture = {
		timers,
		lines,
		ageMs: undefined,
		checker: new KeyChecker(
			withdrawnWithinMs,
			{ getCurrent: () => undefined },
			() => ({ ageMs: fixture.ageMs, nextReadInMs: 100 }),
			timers,
			logger as never,
		),
	};
	return fixture;
}

describe('KeyChecker', () => {
	// Guards against refusals without a line that tells since when and why.
	it('writes a line when the knowledge becomes too old and when it is confirmed again, once each', () => {
		const fixture = createChecker();
		fixture.timers.advance(1_000);
		expect(fixture.lines).toEqual([]);
		fixture.ageMs = 0;
		fixture.timers.advance(1_000);
		fixture.ageMs = maxAgeMs + 1;
		fixture.timers.advance(1_000);
		fixture.ageMs = 10;
		fixture.timers.advance(1_000);
		expect(fixture.lines).toEqual([
			'info knowledge of keys confirmed',
			'warn knowledge of keys too old',
			'info knowledge of keys confirmed',
		]);
	});

	it('refuses a key as unconfirmed before the first manifest', () => {
		const fixture = createChecker();
		fixture.ageMs = 0;
		expect(fixture.checker.findRefusal({ keyDigest: knownKey })?.kind).toBe(ErrorKind.KeyUnconfirmed);
		expect(fixture.checker.findRefusal({})).toBeUndefined();
	});
});
