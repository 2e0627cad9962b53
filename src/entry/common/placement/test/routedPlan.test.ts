import { checkManifest, RepeatRule } from '../../../../core/manifest/common/manifest';
import type { RegionName } from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import { checkForwardedCall, isAllowedRegion } from '../callPlan';
import type { CallPlan } from '../callPlan';
import { planRoutedCall } from '../routedPlan';

const kingston = 'kingston' as RegionName;
const ocho = 'ocho' as RegionName;

function createPlan(route: Record<string, unknown>): CallPlan {
	const manifest = checkManifest({
		regions: [
			{ name: 'kingston', zones: ['kingston-a'] },
			{ name: 'ocho', zones: ['ocho-a'] },
		],
		organisations: [{ name: 'callers', home: 'kingston' }],
		services: [{ name: 'rounds', kind: 'engine', residency: 'any', repeat: 'idempotent' }],
		routes: [
			{
				name: 'plan',
				host: 'h.example',
				pathPrefix: '/plan/',
				timeoutMs: 10_000,
				firstByteAimMs: 1_000,
				services: [{ service: 'rounds', weight: 1 }],
				...route,
			},
		],
	})._unsafeUnwrap();
	return planRoutedCall(manifest.routes[0]!, manifest.services[0]!, manifest.organisations[0]!);
}

describe('planRouted', () => {
	it.each([
		['idempotent', false, RepeatRule.Idempotent],
		['at-most-once', false, RepeatRule.AtMostOnce],
		['stream', false, RepeatRule.AtMostOnce],
		['stream', true, RepeatRule.Idempotent],
	])('plans a request of kind %s with resumable %s as %s', (kind, isResumable, repeat) => {
		expect(createPlan({ kind, isResumable }).repeat).toBe(repeat);
	});

	// A payment is slow. If it timed out before its deadline, its caller would receive an unknown outcome although
	// the answer was about to arrive.
	it('waits for a request that may run only once until its deadline', () => {
		const { firstByteMs, idleMs } = createPlan({ kind: 'at-most-once' }).classes[RequestClass.Normal];
		expect([firstByteMs, idleMs]).toEqual([10_000, 10_000]);
	});

	it('uses a shorter first-byte timeout for a request that may run again', () => {
		const { firstByteMs } = createPlan({ kind: 'idempotent' }).classes[RequestClass.Normal];
		expect(firstByteMs).toBe(3_000);
	});

	// Two entries with different manifests disagree on the home regions of a route. The entry that would answer
	// decides by its own manifest.
	it('refuses a request in regions that are not homes of its route, even if it was forwarded', () => {
		const plan = createPlan({ kind: 'stream', homes: ['kingston'] });
		expect([isAllowedRegion(plan, kingston), isAllowedRegion(plan, ocho)]).toEqual([true, false]);
		expect(checkForwardedCall(plan, { hops: 1, region: ocho }, kingston).isOk()).toBe(true);
		expect(checkForwardedCall(plan, { hops: 1, region: kingston }, ocho).isErr()).toBe(true);
	});
});
