/**
 * Derives the plan of a call from its route: whether the call may be repeated, which regions may answer it, and
 * how long a target may be silent.
 */

import type { RegionName } from '../../../core/ids/common/ids';
import type { ManifestOrganisation, ManifestService } from '../../../core/manifest/common/manifest';
import { RepeatRule, UnticketedRule } from '../../../core/manifest/common/manifest';
import type { ManifestRoute } from '../../../core/manifest/common/routes';
import { isRepeatable } from '../../../core/manifest/common/routes';
import { RequestClass } from '../../../core/requests/common/requestClass';
import type { CallPlan } from './callPlan';

type ClassTimeouts = ManifestService['classes'][RequestClass];

/**
 * Multiple of the first-byte aim after which a repeatable request without a first byte is retried on another
 * target. A busy engine answers late. A retry at that point makes another busy engine read the prompt again.
 * Three times the aim is longer than requests queue at an engine, and leaves most of the deadline for another
 * attempt.
 */
const firstByteTimeoutFactor = 3;
const minSilenceTimeoutMs = 600;

/** Multiple of the longest expected gap between events after which a resumable stream continues on another target. */
const idleTimeoutFactor = 3;
const defaultMaxGapMs = 1_000;

/** Creates the plan of a call that was matched to a route. */
export function planRoutedCall(
	route: ManifestRoute,
	service: ManifestService,
	organisation: ManifestOrganisation,
): CallPlan {
	const timeouts = computeTimeouts(route);
	const allowedRegions = computeAllowedRegions(route, organisation);
	return {
		service,
		organisation,
		repeat: isRepeatable(route) ? RepeatRule.Idempotent : RepeatRule.AtMostOnce,
		// The entry never retries such a call, and a call that the caller sends again is a new request.
		unticketed: UnticketedRule.RunOnce,
		homeRegion: undefined,
		...(allowedRegions === undefined ? {} : { allowedRegions }),
		classes: {
			[RequestClass.Urgent]: timeouts,
			[RequestClass.Normal]: timeouts,
			[RequestClass.Draft]: timeouts,
		},
	};
}

/** Returns the regions that both the route and the organisation allow, or undefined if neither names any. */
function computeAllowedRegions(
	route: ManifestRoute,
	organisation: ManifestOrganisation,
): ReadonlySet<RegionName> | undefined {
	const limits = [route.homes, organisation.homes].filter(homes => homes.length > 0);
	const [homes, others = homes] = limits;
	return homes && new Set(homes.filter(home => others?.includes(home) === true));
}

/**
 * Computes the timeouts of a route. A request that must not run twice gets the whole deadline, because after an
 * earlier timeout its outcome would be unknown although the answer may still arrive.
 */
function computeTimeouts(route: ManifestRoute): ClassTimeouts {
	const { timeoutMs, firstByteAimMs, longestGapMs = defaultMaxGapMs } = route;
	if (!isRepeatable(route)) {
		return { defaultDeadlineMs: timeoutMs, firstByteMs: timeoutMs, idleMs: timeoutMs };
	}
	return {
		defaultDeadlineMs: timeoutMs,
		firstByteMs: Math.max(minSilenceTimeoutMs, firstByteAimMs * firstByteTimeoutFactor),
		idleMs: Math.max(minSilenceTimeoutMs, longestGapMs * idleTimeoutFactor),
	};
}
