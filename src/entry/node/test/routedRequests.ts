/**
 * Requests by routes in a simulated site, and the software version of its targets.
 */

import type { SoftwareVersion } from '../../../core/ids/common/ids';
import { RepeatRule, UnticketedRule } from '../../../core/manifest/common/manifest';
import type { ManifestRoute, RouteKind } from '../../../core/manifest/common/routes';
import { isRepeatable } from '../../../core/manifest/common/routes';
import { RequestClass } from '../../../core/requests/common/requestClass';
import type { RoutedCall } from '../../common/callers/callHead';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import type { AcceptedCall } from '../requests/requestRun';

export const softwareVersion = 'v1' as SoftwareVersion;

/** What a caller asks for by a route. */
export interface RoutedRequest {
	readonly kind: RouteKind;
	readonly isResumable: boolean;
	readonly attempts: number;
	/** The deadline of the caller or the timeout of the route, whichever is first. */
	readonly limitMs: number;
}

/** Targets go on with a stream only if their version is certain. */
export function setCertainVersion(target: SchedulableTarget): SchedulableTarget {
	const { registered } = target;
	return registered === undefined
		? target
		: { ...target, registered: { ...registered, findCertainVersion: () => softwareVersion } };
}

/** Time limits of requests that are short enough for a silent target to be noticed before their deadline. */
const routedLimits = { firstByteMs: 400, idleMs: 400 };

/** Creates the call of a request by a route from one without. */
export function createRoutedCall(
	call: AcceptedCall,
	{ kind, isResumable, attempts, limitMs }: RoutedRequest,
): AcceptedCall {
	const route = { kind, isResumable, attempts, firstByteAimMs: limitMs / 2 } as ManifestRoute;
	const routed: RoutedCall = {
		route,
		priority: 1,
		host: 'rounds.example',
		callerRequestId: call.id,
		prompt: undefined,
		lastEventId: undefined,
		resumes: undefined,
	};
	const repeat = isRepeatable(route) ? RepeatRule.Idempotent : RepeatRule.AtMostOnce;
	const rules = { repeat, unticketed: UnticketedRule.RunOnce };
	const normal = { ...call.plan.classes[RequestClass.Normal], ...routedLimits };
	return {
		...call,
		head: { ...call.head, routed, deadlineMs: limitMs },
		body: Buffer.from(call.id),
		plan: { ...call.plan, ...rules, classes: { ...call.plan.classes, [RequestClass.Normal]: normal } },
		deadlineMs: call.arrivedMs + limitMs,
	};
}
