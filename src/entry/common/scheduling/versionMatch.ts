/**
 * Decides at which targets a request may run with regard to the software version of the targets: a request that resumes a stream
 * only at the version that began the stream, any other request at all of them.
 *
 * A version that is not certain matches nothing. A target whose process may have started again with another version would continue
 * the stream all the same, and the caller could not tell.
 */

import type { SoftwareVersion } from '../../../core/ids/common/ids';
import type { SchedulableRequest, SchedulableTarget } from './serviceScheduler';

/** The software version at which a stream goes on. */
export interface VersionRequirement {
	/** Undefined if it is not known. */
	readonly version: SoftwareVersion | undefined;
}

/** Whether the request may run at the target. */
export function isVersionMatched({ registered }: SchedulableTarget, request: SchedulableRequest): boolean {
	const required = request.findRequiredVersion?.();
	if (required === undefined) {
		return true;
	}
	return required.version !== undefined && registered?.findCertainVersion?.() === required.version;
}

/** Whether a target that is not leaving may run the request. */
export function hasMatchedTarget(
	targets: readonly SchedulableTarget[],
	request: SchedulableRequest,
): boolean {
	return targets.some(target => !target.isLeaving && isVersionMatched(target, request));
}

/** Describes why no target may run a request that resumes a stream. */
export function describeUnmatched(
	targets: readonly SchedulableTarget[],
	{ version }: VersionRequirement,
): string {
	const usable = targets.filter(({ isLeaving }) => !isLeaving);
	const found = [...new Set(usable.map(({ registered }) => registered?.version ?? 'unknown'))].sort();
	const inDoubt = usable.filter(({ registered }) => registered?.version === version).length;
	const doubt = version === undefined || inDoubt === 0 ? '' : `, ${inDoubt} of version ${version} in doubt`;
	return `no target in use of version ${version ?? 'unknown'}, in reach: ${found.join(' ') || 'none'}${doubt}`;
}
