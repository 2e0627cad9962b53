/**
 * Builds requests and targets for the scheduling tests, with defaults for all fields that a test doesn't set.
 */

import type { OrganisationName, RequestId, TargetId, ZoneName } from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import type { SchedulableRequest, SchedulableTarget } from '../serviceScheduler';

export function createRequest(id: string, overrides: Partial<SchedulableRequest> = {}): SchedulableRequest {
	return {
		id: id as RequestId,
		organisation: 'omaruru' as OrganisationName,
		requestClass: RequestClass.Urgent,
		arrivedMs: 0,
		deadlineMs: 10_000,
		prefixKey: undefined,
		bodyBytes: 100,
		isRepeatable: true,
		...overrides,
	};
}

export function createTarget(id: string, overrides: Partial<SchedulableTarget> = {}): SchedulableTarget {
	return {
		id: id as TargetId,
		zone: 'khomas-a' as ZoneName,
		isSameZone: true,
		slots: 4,
		share: 1,
		isLeaving: false,
		...overrides,
	};
}
