/**
 * How long a request will hold a slot, learnt from those that ended before it. Load pattern: drafts of half
 * a minute among questions of a third of a second, and organisations whose requests are longer than those
 * of others. Without estimates fairness could only count requests, so an organisation of long drafts would
 * take a hundred times the share of one with questions, and a deadline could not be held against a queue.
 */

import type { OrganisationName } from '../../../core/ids/common/ids';
import { RequestClass, requestClasses } from '../../../core/requests/common/requestClass';
import type { ClassPolicy } from './policy';

/** Twenty runs: a change of the work shows within seconds, and one odd run moves the mean by 5% of itself. */
const minRunWeight = 0.05;
/** Runs of an organisation before its own mean is believed rather than that of its class. */
const minOrganisationRuns = 5;

interface RunAverage {
	runs: number;
	meanMs: number;
	/** Mean absolute distance from the mean. */
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

/** Learns and tells the run times of one service's requests, in milliseconds of a slot. */
export class WorkEstimator {
	private readonly byClass = new Map<RequestClass, RunAverage>();
	private readonly byOrganisation = new Map<OrganisationName, Map<RequestClass, RunAverage>>();

	constructor(classes: Readonly<Record<RequestClass, ClassPolicy>>) {
		for (const requestClass of requestClasses) {
			this.byClass.set(requestClass, createAverage(classes[requestClass].initialRunMs));
		}
	}

	/** The mean run of such a request. */
	estimate(organisation: OrganisationName, requestClass: RequestClass): number {
		return this.findAverage(organisation, requestClass).meanMs;
	}

	/** A run that is longer than the mean by a number of deviations, to hold against a deadline. */
	estimateWithMargin(organisation: OrganisationName, requestClass: RequestClass, deviations: number): number {
		const { meanMs, deviationMs } = this.findAverage(organisation, requestClass);
		return meanMs + deviations * deviationMs;
	}

	/** The mean run of a class over all organisations. */
	estimateForClass(requestClass: RequestClass): number {
		return this.getClassAverage(requestClass).meanMs;
	}

	/** Whether a run of the class has been seen at all. */
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
			throw new Error(`no class ${requestClass}`);
		}
		return average;
	}
}
