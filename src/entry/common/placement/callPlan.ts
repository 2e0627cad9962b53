/**
 * Determines what the manifest prescribes for one call: which regions may answer it, whether it may be repeated
 * and how long it may take. All of this is decided from the head, before any byte of the body is read, because
 * a body that must stay in its region must not be read outside of it.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { OrganisationName, RegionName, ServiceName } from '../../../core/ids/common/ids';
import type { ManifestOrganisation, ManifestService } from '../../../core/manifest/common/manifest';
import { RepeatRule, ResidencyRule, UnticketedRule } from '../../../core/manifest/common/manifest';
import { matchPath, parseCallPath } from './callPath';
import type { RoutedCall } from '../callers/callHead';
import type { ManifestIndex } from './manifestIndex';
import { planRoutedCall } from './routedPlan';

/** The parts of a request's head that placement depends on. */
export interface Call {
	readonly service: ServiceName;
	readonly organisation: OrganisationName;
	readonly method: string;
	/** Path and query, without the service prefix. */
	readonly path: string;
	/** The route of a call that was addressed by host and path. */
	readonly routed?: Pick<RoutedCall, 'route'> | undefined;
}

/** The rules that apply to one call under one manifest. */
export interface CallPlan {
	readonly service: ManifestService;
	readonly organisation: ManifestOrganisation;
	readonly repeat: RepeatRule;
	readonly unticketed: UnticketedRule;
	/** The only region that may answer the call, or undefined if any region may. */
	readonly homeRegion: RegionName | undefined;
	/** The regions that may answer a routed call, or undefined if any region may. */
	readonly allowedRegions?: ReadonlySet<RegionName>;
	/** Time limits for each request class. */
	readonly classes: ManifestService['classes'];
}

/** The origin of a call that another entry forwarded. */
export interface ForwardOrigin {
	/** Number of forwarding hops, including the one to this entry. */
	readonly hops: number;
	/** The region of the entry that forwarded the call. */
	readonly region: RegionName;
}

const requiredHops = 1;

type CallRules = Pick<CallPlan, 'repeat' | 'unticketed'> & { readonly residency: ResidencyRule };

function findRules(
	service: ManifestService,
	method: string,
	path: string,
	normalizeCase: CaseNormalizer,
): CallRules {
	const rule = service.rules.find(
		candidate =>
			(candidate.method === '*' || candidate.method === method) &&
			matchPath(normalizeCase(candidate.path), normalizeCase(path)),
	);
	return {
		repeat: rule?.repeat ?? service.repeat,
		unticketed: rule?.unticketed ?? UnticketedRule.Refuse,
		residency: rule?.residency ?? service.residency,
	};
}

type CaseNormalizer = (path: string) => string;

const keepCase: CaseNormalizer = path => path;
const foldCase: CaseNormalizer = path => path.toLowerCase();

/**
 * Matches the rules both case-sensitively and case-insensitively and combines the results into the stricter one.
 * Some services distinguish `/Pay` from `/pay`, others do not, and the manifest does not state which. For a
 * case-insensitive service, case-sensitive matching alone would allow `/Pay` to be retried. For a case-sensitive
 * service, case-insensitive matching alone could select a less strict rule.
 */
function findStrictestRules(service: ManifestService, method: string, path: string): CallRules {
	const literal = findRules(service, method, path, keepCase);
	const folded = findRules(service, method, path, foldCase);
	const both = [literal, folded];
	const isAny = (test: (rules: CallRules) => boolean): boolean => both.some(test);
	return {
		repeat: isAny(rules => rules.repeat === RepeatRule.AtMostOnce)
			? RepeatRule.AtMostOnce
			: RepeatRule.Idempotent,
		unticketed: isAny(rules => rules.unticketed === UnticketedRule.Refuse)
			? UnticketedRule.Refuse
			: UnticketedRule.RunOnce,
		residency: isAny(rules => rules.residency === ResidencyRule.Home)
			? ResidencyRule.Home
			: ResidencyRule.Any,
	};
}

function createPlan(
	service: ManifestService,
	organisation: ManifestOrganisation,
	rules: CallRules,
): CallPlan {
	return {
		service,
		organisation,
		repeat: rules.repeat,
		unticketed: rules.unticketed,
		homeRegion: rules.residency === ResidencyRule.Home ? organisation.home : undefined,
		classes: service.classes,
	};
}

function refuseCall(kind: ErrorKind, detail: string): Result<never, RequestError> {
	return err(createRequestError(kind, detail));
}

/**
 * Determines the plan of a call at an entry in `ownRegion`. A call that only another region may answer is refused.
 */
export function planCall(
	index: ManifestIndex,
	ownRegion: RegionName,
	call: Call,
): Result<CallPlan, RequestError> {
	const service = index.findService(call.service);
	if (service === undefined) {
		return refuseCall(ErrorKind.UnknownService, `the manifest has no service ${call.service}`);
	}
	const organisation = index.findOrganisation(call.organisation);
	if (organisation === undefined) {
		return refuseCall(ErrorKind.OrganisationUnknown, `the manifest has no organisation ${call.organisation}`);
	}
	if (call.routed !== undefined) {
		return checkAllowedRegions(planRoutedCall(call.routed.route, service, organisation));
	}
	const path = parseCallPath(call.path);
	if (path.isErr()) {
		return err(path.error);
	}
	const plan = createPlan(service, organisation, findStrictestRules(service, call.method, path.value));
	if (plan.homeRegion !== undefined && plan.homeRegion !== ownRegion) {
		return refuseCall(
			ErrorKind.WrongRegion,
			`the call must be answered in ${plan.homeRegion}, this entry is in ${ownRegion}`,
		);
	}
	return ok(plan);
}

/** Refuses a call that no region may answer, because the organisation and the route have no home in common. */
function checkAllowedRegions(plan: CallPlan): Result<CallPlan, RequestError> {
	return plan.allowedRegions?.size === 0
		? refuseCall(ErrorKind.WrongRegion, `the route has no region that ${plan.organisation.name} may use`)
		: ok(plan);
}

/** Whether a region may read and answer the call. */
export function isAllowedRegion({ allowedRegions }: CallPlan, region: RegionName): boolean {
	return allowedRegions === undefined || allowedRegions.has(region);
}

/**
 * Checks a call that another entry forwarded, after `planCall` with this entry's own manifest. Two entries
 * with different manifests may disagree on the region of a call. The call is served only if the manifests of
 * both the sender and this entry allow it, so that the newer of the two is always respected. A forwarded call
 * is never forwarded again. Otherwise two full regions that each consider the other one empty would pass it
 * back and forth, which shows as growing link traffic without any answers.
 */
export function checkForwardedCall(
	plan: CallPlan,
	origin: ForwardOrigin,
	ownRegion: RegionName,
): Result<CallPlan, RequestError> {
	if (origin.hops !== requiredHops) {
		return refuseCall(ErrorKind.MalformedHeader, `${origin.hops} forwarding hops, exactly 1 is required`);
	}
	if (plan.homeRegion !== undefined && (plan.homeRegion !== ownRegion || origin.region !== ownRegion)) {
		return refuseCall(
			ErrorKind.WrongRegion,
			`the call must be answered in ${plan.homeRegion}, it was forwarded from ${origin.region}`,
		);
	}
	if (!isAllowedRegion(plan, ownRegion)) {
		return refuseCall(ErrorKind.WrongRegion, `the route does not allow region ${ownRegion}`);
	}
	return ok(plan);
}
