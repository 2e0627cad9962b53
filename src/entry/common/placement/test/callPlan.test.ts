import fc from 'fast-check';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { OrganisationName, RegionName, ServiceName } from '../../../../core/ids/common/ids';
import { checkManifest, RepeatRule, UnticketedRule } from '../../../../core/manifest/common/manifest';
import type { Call } from '../callPlan';
import { checkForwardedCall, planCall } from '../callPlan';
import { ManifestIndex } from '../manifestIndex';

const kingston = 'kingston' as RegionName;
const ocho = 'ocho' as RegionName;

function createIndex(): ManifestIndex {
	const document = {
		regions: [
			{ name: 'kingston', zones: ['kingston-a'] },
			{ name: 'ocho', zones: ['ocho-a'] },
		],
		organisations: [
			{ name: 'harbour-hotel', home: 'kingston' },
			{ name: 'beach-hotel', home: 'ocho' },
		],
		services: [
			{
				name: 'bookings',
				kind: 'plain',
				residency: 'home',
				repeat: 'idempotent',
				rules: [
					{ method: 'GET', path: '/visits/*', repeat: 'idempotent', residency: 'any' },
					{ method: 'POST', path: '/payments', repeat: 'at-most-once', unticketed: 'run-once' },
					{ method: '*', path: '/payments*', repeat: 'at-most-once' },
				],
			},
		],
		targets: ['kingston', 'ocho'].map(region => ({
			id: `bookings-${region}`,
			service: 'bookings',
			region,
			zone: `${region}-a`,
			url: 'http://127.0.0.1:9001',
		})),
	};
	return new ManifestIndex(checkManifest(document)._unsafeUnwrap());
}

function createCall(change: Partial<Record<Exclude<keyof Call, 'routed'>, string>> = {}): Call {
	const call = {
		service: 'bookings',
		organisation: 'harbour-hotel',
		method: 'GET',
		path: '/jobs',
		...change,
	};
	return {
		...call,
		service: call.service as ServiceName,
		organisation: call.organisation as OrganisationName,
	};
}

const index = createIndex();

describe('planCall', () => {
	it('applies the first matching rule, or the defaults of the service if none matches', () => {
		const plan = planCall(index, kingston, createCall({ method: 'POST', path: '/payments?x=/a/..' }));
		expect(plan._unsafeUnwrap()).toMatchObject({
			repeat: RepeatRule.AtMostOnce,
			unticketed: UnticketedRule.RunOnce,
			homeRegion: kingston,
		});
		expect(planCall(index, kingston, createCall())._unsafeUnwrap()).toMatchObject({
			repeat: RepeatRule.Idempotent,
			unticketed: UnticketedRule.Refuse,
		});
	});

	it('allows any region for a call whose rule has residency any', () => {
		const visits = createCall({ path: '/visits/7' });
		expect(planCall(index, ocho, visits)._unsafeUnwrap().homeRegion).toBeUndefined();
	});

	it.each([
		[{ service: 'billing' }, ErrorKind.UnknownService],
		[{ organisation: 'nobody' }, ErrorKind.OrganisationUnknown],
		[{ organisation: 'beach-hotel' }, ErrorKind.WrongRegion],
		[{ path: 'payments' }, ErrorKind.UnknownRoute],
		[{ path: '/%zz' }, ErrorKind.UnknownRoute],
	])('refuses %j as %s', (change, kind) => {
		expect(planCall(index, kingston, createCall(change))._unsafeUnwrapErr().kind).toBe(kind);
	});

	it.each([
		['/visits/M%C3%BCller%20%26%20Co', RepeatRule.Idempotent, undefined],
		['/visits/', RepeatRule.Idempotent, undefined],
		['/VISITS/7', RepeatRule.Idempotent, kingston],
		['/payments/', RepeatRule.AtMostOnce, kingston],
		['/Payments', RepeatRule.AtMostOnce, kingston],
		['/', RepeatRule.Idempotent, kingston],
	])(
		'matches the path %s, by the stricter rule if upper and lower case differ',
		(path, repeat, homeRegion) => {
			const plan = planCall(index, kingston, createCall({ path }))._unsafeUnwrap();
			expect(plan).toMatchObject({ repeat, homeRegion });
		},
	);

	// A caller uses another spelling of a payment's path that the service treats as equal. If the rule did not match
	// it, the payment would be retried after a failed attempt and the customer charged twice.
	it('recognizes a payment in every spelling of its path, or refuses it', () => {
		const spelling = (char: string): fc.Arbitrary<string> =>
			fc.constantFrom(char, `%${char.charCodeAt(0).toString(16)}`);
		const path = fc
			.tuple(
				fc.constantFrom('/', '//', '/./', '/x/../', '/%2e/', '/;v=1/', '\\'),
				fc.tuple(...'payments'.match(/./g)!.map(spelling)),
				fc.constantFrom('', '/', '//', '/.', '?a', '/x', '%2f', '%252f'),
			)
			.map(([before, middle, after]) => before + middle.join('') + after);
		fc.assert(
			fc.property(path, spelled => {
				const plan = planCall(index, kingston, createCall({ method: 'POST', path: spelled }));
				return plan.isErr() || plan.value.repeat === RepeatRule.AtMostOnce;
			}),
			{ seed: 4, numRuns: 1_000 },
		);
	});

	it('lists the targets of a service in one region', () => {
		const found = index.listTargets('bookings' as ServiceName, ocho);
		expect(found.map(target => target.id)).toEqual(['bookings-ocho']);
		expect(index.findTarget(found[0]!.id)).toBe(found[0]);
	});
});

describe('checkForwarded', () => {
	const unrestricted = planCall(index, kingston, createCall({ path: '/visits/7' }))._unsafeUnwrap();
	const restricted = planCall(index, kingston, createCall())._unsafeUnwrap();

	it('accepts one hop, from any region for an unrestricted call and from the home region for a restricted one', () => {
		expect(checkForwardedCall(unrestricted, { hops: 1, region: ocho }, kingston).isOk()).toBe(true);
		expect(checkForwardedCall(restricted, { hops: 1, region: kingston }, kingston).isOk()).toBe(true);
	});

	// Two full regions each assume that the other one has capacity, or a caller forges the hop count. A call that is
	// forwarded a second time would circulate on the thin link and never be answered.
	it.each([0, 2, -1, 1.5, Number.NaN])('refuses %d hops', hops => {
		expect(checkForwardedCall(unrestricted, { hops, region: ocho }, kingston).isErr()).toBe(true);
	});

	// One entry still has the manifest that allows any region and forwards the call. The other entry has the newer
	// manifest that restricts the call to its home region. Serving it would violate the residency rule.
	it('refuses a restricted call that comes from or arrives in a region other than its home', () => {
		const fromOcho = checkForwardedCall(restricted, { hops: 1, region: ocho }, kingston);
		expect(fromOcho._unsafeUnwrapErr().kind).toBe(ErrorKind.WrongRegion);
		expect(checkForwardedCall(restricted, { hops: 1, region: ocho }, ocho).isErr()).toBe(true);
	});
});
