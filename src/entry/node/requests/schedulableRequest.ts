/**
 * Converts a request to the form that the scheduler works with.
 */

import { RepeatRule } from '../../../core/manifest/common/manifest';
import type { RoutedCall } from '../../common/callers/callHead';
import type { RequestWork, SchedulableRequest } from '../../common/scheduling/serviceScheduler';
import type { RequestRun } from './requestRun';

/** Creates the scheduler's representation of a request. */
export function createSchedulable(run: RequestRun): SchedulableRequest {
	const { id, head, plan, body, arrivedMs, deadlineMs, startByMs, maxRuns } = run.call;
	const { routed } = head;
	return {
		id,
		organisation: head.organisation,
		requestClass: head.requestClass,
		arrivedMs,
		deadlineMs,
		prefixKey: head.prefixKey,
		bodyBytes: body.byteLength,
		isRepeatable: plan.repeat === RepeatRule.Idempotent,
		organisationWeight: plan.organisation.weight,
		...(startByMs === undefined ? {} : { startByMs }),
		history: run.history,
		isContinuable: () => run.isContinuable(),
		...(routed === undefined ? {} : { work: createWork(routed, arrivedMs, maxRuns) }),
		...(routed?.route.isResumable === true ? { findRequiredVersion: () => run.findRequiredVersion() } : {}),
	};
}

function createWork(
	{ route, priority, prompt }: RoutedCall,
	arrivedMs: number,
	maxRuns?: number,
): RequestWork {
	return {
		dueMs: arrivedMs + route.firstByteAimMs,
		urgency: priority,
		prompt,
		maxAttempts: route.attempts,
		isResumable: route.isResumable,
		...(maxRuns === undefined ? {} : { maxRuns }),
	};
}
