/**
 * Notes when an organisation begins and ends to be limited at one entry. An organisation close to its limit has a fraction
 * just below 1 in some answers only; each such change would write a line.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import type { AdmissionState } from './entryAdmission';

/** Receives the changes. */
export interface ILimitedObserver {
	noteLimited(organisation: OrganisationName, isLimited: boolean, fraction: number): void;
}

/** Time without a fraction below 1 after which an organisation is no longer limited. */
const endAfterMs = 5_000;

export class LimitedLog {
	private readonly limitedMs = new Map<OrganisationName, number>();

	constructor(private readonly observer: ILimitedObserver) {}

	countLimited(): number {
		return this.limitedMs.size;
	}

	update(organisation: OrganisationName, { fraction, ownDemand }: AdmissionState, nowMs: number): void {
		const lastMs = this.limitedMs.get(organisation);
		if (fraction < 1 && ownDemand > 0) {
			this.limitedMs.set(organisation, nowMs);
			if (lastMs === undefined) {
				this.observer.noteLimited(organisation, true, fraction);
			}
			return;
		}
		if (lastMs !== undefined && nowMs - lastMs >= endAfterMs) {
			this.limitedMs.delete(organisation);
			this.observer.noteLimited(organisation, false, fraction);
		}
	}
}
