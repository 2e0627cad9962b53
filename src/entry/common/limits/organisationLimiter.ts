/**
 * Limits the requests of organisations at one entry. The implementations are the limits that the entries share
 * (`SharedLimits`) and an equal, fixed part for each entry (`EqualShareLimits`).
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import type { OrganisationLimit } from '../../../core/manifest/common/organisations';
import type { LimitVerdict } from './entryAdmission';

/** Admits requests, and takes back units of requests that were not run. */
export interface IOrganisationLimiter {
	/** Returns undefined for an organisation without a limit. */
	admit(organisation: OrganisationName, computeCost: ComputeCost): LimitDecision | undefined;
	/** Returns the units of a request that was admitted and then not run. */
	releaseUnits(charge: LimitCharge): void;
}

/** Computes the units of a request by the limit that is in force. */
export type ComputeCost = (limit: OrganisationLimit) => number;

/** Units that a request counts as. */
export interface LimitCharge {
	readonly organisation: OrganisationName;
	readonly cost: number;
}

/** The decision on a request, with what it counts as if it is admitted. */
export interface LimitDecision {
	readonly charge: LimitCharge;
	readonly verdict: LimitVerdict;
}
