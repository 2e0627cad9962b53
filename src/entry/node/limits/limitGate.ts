/**
 * Refuses the requests of callers that exceed the limit of their organisation, and credits those that were admitted and
 * then not run. Forwarded requests do not pass here: the entry that their caller connected to has counted them.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import { LimitResult } from '../../../core/telemetry/common/entryMetricLabels';
import type { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import type { CallHead } from '../../common/callers/callHead';
import type { IOrganisationLimiter, LimitCharge } from '../../common/limits/organisationLimiter';
import { computeRequestCost } from '../../common/limits/requestCost';
import type { CallPlan } from '../../common/placement/callPlan';

const percent = 100;

export class LimitGate {
	/** What admitted requests were counted as, until they end. */
	private readonly charges = new WeakMap<CallHead, LimitCharge>();

	constructor(
		private readonly limiter: IOrganisationLimiter,
		private readonly metrics: Pick<EntryMetrics, 'noteLimit'>,
	) {}

	/** Returns the plan, or an error if the request is beyond the limit of its organisation. */
	admit(head: CallHead, plan: CallPlan): Result<CallPlan, RequestError> {
		const { name, limit } = plan.organisation;
		if (limit === undefined) {
			return ok(plan);
		}
		const prompt = head.routed?.prompt;
		const decision = this.limiter.admit(name, inForce => computeRequestCost(inForce, prompt));
		if (decision === undefined) {
			return ok(plan);
		}
		const { charge, verdict } = decision;
		this.metrics.noteLimit(verdict.isAdmitted ? LimitResult.Admitted : LimitResult.Refused);
		if (verdict.isAdmitted) {
			this.charges.set(head, charge);
			return ok(plan);
		}
		const admittedPercent = (verdict.probability * percent).toFixed(1);
		const detail = `${limit.perSecond} ${limit.unit}/s over all entries; ${admittedPercent}% admitted at present`;
		return err(createRequestError(ErrorKind.LimitReached, detail, { retryAfterMs: verdict.retryAfterMs }));
	}

	/** Credits a request that ended without having run. */
	noteNotRun(head: CallHead): void {
		const charge = this.charges.get(head);
		if (charge !== undefined) {
			this.charges.delete(head);
			this.limiter.releaseUnits(charge);
			this.metrics.noteLimit(LimitResult.Credited);
		}
	}
}
