/**
 * Describes the organisations of the manifest in force and the slowness of targets for the operators' port. Keys are
 * counted only, so that no key and no digest leaves the entry through these answers.
 */

import type {
	OrganisationsAnswer,
	OrganisationStatus,
	TargetSlownessStatus,
} from '../../core/status/common/organisationsStatus';
import type { Manifest } from '../../core/manifest/common/manifest';
import type { LimitStatus } from '../common/limits/sharedLimits';
import type { TargetSlowness } from '../common/scheduling/serviceScheduler';
import type { KeyChecker } from './keyChecker';

/** The age of the knowledge of keys, and its limit. */
export type KeyAges = Pick<KeyChecker, 'getAgeMs' | 'getMaxAgeMs'>;

const fractionDigits = 3;

/** @param keyAges Undefined if the settings set no bound for withdrawn keys. */
export function describeKeyKnowledge(keyAges: KeyAges | undefined): OrganisationsAnswer['keyKnowledge'] {
	if (keyAges === undefined) {
		return null;
	}
	return { ageMs: formatAge(keyAges.getAgeMs()), maxAgeMs: Math.floor(keyAges.getMaxAgeMs()) };
}

/** @param limits What this entry knows of each limit; an organisation without an element has no use yet. */
export function describeOrganisations(
	manifest: Pick<Manifest, 'organisations'>,
	limits: readonly LimitStatus[],
): OrganisationStatus[] {
	const limitsByName = new Map(limits.map(status => [status.organisation, status]));
	return manifest.organisations.map(({ name, homes, priority, keys, limit }) => ({
		organisation: name,
		homes: [...homes],
		priority: priority ?? null,
		keys: keys.length,
		limit: limit === undefined ? null : { unit: limit.unit, perSecond: limit.perSecond, burst: limit.burst },
		use: describeUse(limitsByName.get(name)),
	}));
}

export function describeSlowness(
	service: string,
	{ target, lasting, recent, source, correction, reportAgeMs }: TargetSlowness,
): TargetSlownessStatus {
	return {
		id: target,
		service,
		lasting: formatFraction(lasting),
		recent: formatFraction(recent),
		source,
		correction: formatFraction(correction),
		reportAgeMs: formatAge(reportAgeMs),
	};
}

function describeUse(status: LimitStatus | undefined): OrganisationStatus['use'] {
	if (status === undefined) {
		return null;
	}
	const { ownDemand, fleetDemand, fraction, answerAgeMs } = status;
	return {
		ownDemand: formatFraction(ownDemand),
		fleetDemand: fleetDemand === undefined ? null : formatFraction(fleetDemand),
		fraction: formatFraction(fraction),
		answerAgeMs: formatAge(answerAgeMs),
	};
}

function formatFraction(value: number): number {
	return Number(value.toFixed(fractionDigits));
}

function formatAge(ageMs: number | undefined): number | null {
	return ageMs === undefined ? null : Math.round(ageMs);
}
