/**
 * Estimates how long a request occupies a slot, from the run times of earlier requests. Run times differ
 * widely between classes (a draft takes half a minute, a question a third of a second) and between
 * organisations. Without estimates, fairness could only count requests, so an organisation that sends long
 * drafts would take a hundred times the share of one that sends questions, and the wait in a queue couldn't
 * be compared with a deadline.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import { RequestClass, requestClasses } from '../../../core/requests/common/requestClass';
import type { ClassPolicy } from './policy';

/**
 * Averages over about 20 runs: follows a change of the workload within seconds, and one outlier moves the
 * mean by 5% of its distance.
 */
const minRunWeight = 0.05;
/** Number of runs of an organisation before its own mean replaces the mean of the class. */
const minOrganisationRuns = 5;

interface RunAverage {
	runs: number;
	meanMs: number;
	/** Mean absolute deviation from `meanMs`. */
	deviationMs: number;
}

function createAverage(initialMs: number): RunAverage {
	return { runs: 0, meanMs: initialMs, deviationMs: initialMs / 4 };
}

function addRun(average: RunAverage, ranMs: number): void {
	average.runs++;
	const weight = Math.max(minRunWeight, 1 / average.runs);
	const distanceMs = ranMs - average.meanMs;
	average.meanMs += weight * distanceMs;
	average.deviationMs += weight * (Math.abs(distanceMs) - average.deviationMs);
}

/** Estimates the run times of one service's requests, in milliseconds of slot time. */
export class WorkEstimator {
	private readonly byClass = new Map<RequestClass, RunAverage>();
	private readonly byOrganisation = new Map<OrganisationName, Map<RequestClass, RunAverage>>();

	constructor(classes: Readonly<Record<RequestClass, ClassPolicy>>) {
		for (const requestClass of requestClasses) {
			this.byClass.set(requestClass, createAverage(classes[requestClass].initialRunMs));
		}
	}

	/** Returns the mean run time of the organisation's requests of this class. */
	estimate(organisation: OrganisationName, requestClass: RequestClass): number {
		return this.findAverage(organisation, requestClass).meanMs;
	}

	/** Returns the mean run time plus a number of mean deviations, for comparison with a deadline. */
	estimateWithMargin(organisation: OrganisationName, requestClass: RequestClass, deviations: number): number {
		const { meanMs, deviationMs } = this.findAverage(organisation, requestClass);
		return meanMs + deviations * deviationMs;
	}

	/** Returns the mean run time of a class over all organisations. */
	estimateForClass(requestClass: RequestClass): number {
		return this.getClassAverage(requestClass).meanMs;
	}

	/** Whether at least one run of the class has been recorded. */
	hasRuns(requestClass: RequestClass): boolean {
		return this.getClassAverage(requestClass).runs > 0;
	}

	recordRun(organisation: OrganisationName, requestClass: RequestClass, ranMs: number): void {
		addRun(this.getClassAverage(requestClass), ranMs);
		let own = this.byOrganisation.get(organisation);
		if (own === undefined) {
			own = new Map();
			this.byOrganisation.set(organisation, own);
		}
		let average = own.get(requestClass);
		if (average === undefined) {
			average = createAverage(ranMs);
			own.set(requestClass, average);
		}
		addRun(average, ranMs);
	}

	private findAverage(organisation: OrganisationName, requestClass: RequestClass): RunAverage {
		const own = this.byOrganisation.get(organisation)?.get(requestClass);
		return own !== undefined && own.runs >= minOrganisationRuns ? own : this.getClassAverage(requestClass);
	}

	private getClassAverage(requestClass: RequestClass): RunAverage {
		const average = this.byClass.get(requestClass);
		if (average === undefined) {
			throw new Error(`unknown request class ${requestClass}`);
		}
		return average;
	}
}
