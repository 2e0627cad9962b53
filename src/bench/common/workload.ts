/**
 * Generates open-loop load: arrival times are drawn before the run and do not depend on answers, as under peak load
 * from many independent callers. The processing times follow the figures given by the organisations that use the
 * system: 0.3 s for questions, 30 to 60 s for drafts.
 */

import type { IRandom } from '../../base/common/random';
import type { OrganisationName, RequestId } from '../../core/ids/common/ids';
import { RequestClass } from '../../core/requests/common/requestClass';
import type { ModelRequest } from './entryModel';

/** A kind of request with its arrival rate and its distributions. */
export interface RequestKind {
	readonly requestClass: RequestClass;
	/** Arrival rate at a time of the run, in requests per second. */
	readonly computeRate: (nowMs: number) => number;
	/** Maximum value of `computeRate`. Arrivals are drawn at this rate and thinned to the current rate. */
	readonly mostRate: number;
	readonly pickWorkMs: (random: IRandom) => number;
	readonly deadlineMs: number;
	readonly pickOrganisation: (random: IRandom) => string;
	readonly pickPrefix?: (random: IRandom) => string;
	readonly coldMs?: number;
	readonly bodyBytes?: number;
	/** Share of the requests that may be served in their home region only. */
	readonly boundShare?: number;
	readonly isRepeatable?: boolean;
}

/** A request and its planned send time. */
export interface PlannedRequest {
	readonly atMs: number;
	readonly model: ModelRequest;
}

/** Draws a lognormal time: most values are near the median, a few are several times longer. */
export function pickLognormal(random: IRandom, meanMs: number, sigma: number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.pickFraction()));
	const normal = radius * Math.cos(2 * Math.PI * random.pickFraction());
	return meanMs * Math.exp(sigma * normal - (sigma * sigma) / 2);
}

/** Draws the processing time of a question, with a mean of 0.3 s. */
export function pickQuestionMs(random: IRandom): number {
	return pickLognormal(random, 300, 0.4);
}

/** Draws the processing time of a draft, uniformly between 30 and 60 s. */
export function pickDraftMs(random: IRandom): number {
	return 30_000 + 30_000 * random.pickFraction();
}

/** Returns a function that draws one of `count` names with equal probability. */
export function createEvenPicker(name: string, count: number): (random: IRandom) => string {
	return random => `${name}-${random.pickBelow(count)}`;
}

/** Creates a request with properties drawn according to its kind. */
export function createModelRequest(
	kind: RequestKind,
	id: string,
	nowMs: number,
	random: IRandom,
): ModelRequest {
	return {
		request: {
			id: id as RequestId,
			organisation: kind.pickOrganisation(random) as OrganisationName,
			requestClass: kind.requestClass,
			arrivedMs: nowMs,
			deadlineMs: nowMs + kind.deadlineMs,
			prefixKey: kind.pickPrefix?.(random),
			bodyBytes: kind.bodyBytes ?? 2_000,
			isRepeatable: kind.isRepeatable ?? true,
		},
		workMs: kind.pickWorkMs(random),
		coldMs: kind.coldMs ?? 0,
		isHomeRegionOnly: random.pickFraction() < (kind.boundShare ?? 0),
	};
}

/** Draws all requests of a run, sorted by send time. */
export function planArrivals(
	kinds: readonly RequestKind[],
	durationMs: number,
	random: IRandom,
	idPrefix = '',
): PlannedRequest[] {
	const planned: PlannedRequest[] = [];
	for (const [index, kind] of kinds.entries()) {
		let atMs = 0;
		for (;;) {
			atMs += (-Math.log(1 - random.pickFraction()) * 1_000) / kind.mostRate;
			if (atMs >= durationMs) {
				break;
			}
			if (random.pickFraction() * kind.mostRate < kind.computeRate(atMs)) {
				planned.push({
					atMs,
					model: createModelRequest(kind, `${idPrefix}${index}-${planned.length}`, atMs, random),
				});
			}
		}
	}
	return planned.sort((left, right) => left.atMs - right.atMs);
}
