/**
 * Loads that several patterns share. They are given as fractions of the capacity of the default fleet: eight
 * targets of eight slots each, where a full batch runs a quarter slower than a single request.
 */

import type { IRandom } from '../../../base/common/random';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { defaultExperiment } from '../experiment';
import type { RequestKind } from '../workload';
import { createEvenPicker, pickDraftMs, pickLognormal, pickQuestionMs } from '../workload';

const meanQuestionMs = 300;
const meanDraftMs = 45_000;
const meanNormalMs = 2_000;

/** Milliseconds of work that the default fleet completes per millisecond with all slots in use. */
export const maxFleetThroughput =
	(defaultExperiment.targetCount * defaultExperiment.slots) / (1 + defaultExperiment.batchSlowdown);

/** Factor over time by which a load is multiplied. */
export type LoadProfile = (nowMs: number) => number;

function createKind(
	base: Omit<RequestKind, 'computeRate' | 'mostRate'>,
	meanMs: number,
	loadFraction: number,
	profile: LoadProfile,
	maxOfProfile: number,
): RequestKind {
	const fullRate = (maxFleetThroughput * 1_000) / meanMs;
	return {
		...base,
		computeRate: nowMs => fullRate * loadFraction * profile(nowMs),
		mostRate: fullRate * loadFraction * maxOfProfile,
	};
}

const pickOrganisation = createEvenPicker('organisation', 10);

/** A load that doesn't change over time. */
export const constantLoad: LoadProfile = () => 1;

/** Creates questions (urgent class, 0.3 s on average) at a fraction of the capacity. */
export function createQuestions(
	loadFraction: number,
	overrides: Partial<RequestKind> = {},
	profile: LoadProfile = constantLoad,
	maxOfProfile = 1,
): RequestKind {
	const base = {
		requestClass: RequestClass.Urgent,
		pickWorkMs: pickQuestionMs,
		deadlineMs: 5_000,
		pickOrganisation,
	};
	return { ...createKind(base, meanQuestionMs, loadFraction, profile, maxOfProfile), ...overrides };
}

/** Creates requests of the normal class, 2 s on average, at a fraction of the capacity. */
export function createNormalRequests(
	loadFraction: number,
	profile: LoadProfile = constantLoad,
	maxOfProfile = 1,
): RequestKind {
	const base = {
		requestClass: RequestClass.Normal,
		pickWorkMs: (random: IRandom) => pickLognormal(random, meanNormalMs, 0.4),
		deadlineMs: 20_000,
		pickOrganisation,
	};
	return createKind(base, meanNormalMs, loadFraction, profile, maxOfProfile);
}

/** Creates drafts (30 to 60 s) at a fraction of the capacity. */
export function createDrafts(
	loadFraction: number,
	profile: LoadProfile = constantLoad,
	maxOfProfile = 1,
): RequestKind {
	const base = {
		requestClass: RequestClass.Draft,
		pickWorkMs: pickDraftMs,
		deadlineMs: 180_000,
		pickOrganisation,
	};
	return createKind(base, meanDraftMs, loadFraction, profile, maxOfProfile);
}

/** Creates the usual mix of requests. By work it is 50 % questions, 30 % normal requests and 20 % drafts. */
export function createMixedLoad(
	loadFraction: number,
	profile: LoadProfile = constantLoad,
	maxOfProfile = 1,
): RequestKind[] {
	return [
		createQuestions(loadFraction * 0.5, {}, profile, maxOfProfile),
		createNormalRequests(loadFraction * 0.3, profile, maxOfProfile),
		createDrafts(loadFraction * 0.2, profile, maxOfProfile),
	];
}
