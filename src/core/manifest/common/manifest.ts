/**
 * The manifest: the operators' description of what should be running, created by their build pipeline. It is parsed only
 * with this schema, both by `anvilroadctl check manifest` and by every entry. A manifest is accepted as a whole or
 * rejected with all errors and their places in the document.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { ModelName, RegionName, ServiceName, TargetId, ZoneName } from '../../ids/common/ids';
import { RequestClass } from '../../requests/common/requestClass';
import { organisationSchema } from './organisations';
import { callerLimitsSchema, routeSchema } from './routes';
import { createNameSchema, milliseconds } from './schemas';

/** Kind of a service's targets. */
export enum ServiceKind {
	/** An inference engine with continuous batching, prefix caching and streamed answers. */
	Engine = 'engine',
	/** Any other HTTP service. */
	Plain = 'plain',
}

/** How often a call may be sent to targets. */
export enum RepeatRule {
	/** May be retried: running the call twice has the same effect as running it once. */
	Idempotent = 'idempotent',
	/** Requires a ticket and is never sent a second time, for calls such as payments. */
	AtMostOnce = 'at-most-once',
}

/** What happens to an at-most-once call without a ticket. */
export enum UnticketedRule {
	Refuse = 'refuse',
	/** The call is run once; repetitions by the caller are not detected. */
	RunOnce = 'run-once',
}

/** Where a service's requests may be answered. */
export enum ResidencyRule {
	/** Only in the home region of the request's organisation. */
	Home = 'home',
	/** In any region that has targets of the service. */
	Any = 'any',
}

/** Role of a target. */
export enum TargetRole {
	Serve = 'serve',
	/** Keeps its models loaded but receives no requests. */
	Standby = 'standby',
}

/** Whether a target should stay in service or leave. */
export enum TargetIntent {
	Live = 'live',
	Leaving = 'leaving',
}

const regionSchema = z.strictObject({
	name: createNameSchema<RegionName>(),
	zones: z.array(createNameSchema<ZoneName>()).min(1),
});

const linkSchema = z.strictObject({
	/** The two ends, in either order. */
	between: z.tuple([createNameSchema<RegionName>(), createNameSchema<RegionName>()]),
	oneWayMs: z.number().nonnegative(),
	megabitsPerSecond: z.number().positive(),
	/** Percentage of the link's bandwidth that requests sent to another region may use. */
	sharePercent: z.number().min(0).max(100).default(50),
});

const modelSchema = z.strictObject({
	name: createNameSchema<ModelName>(),
	version: z.string().min(1),
	weightBytes: z.number().int().positive(),
	adapters: z.array(z.string().min(1)).default([]),
});

const classSchema = z.strictObject({
	/** Deadline of requests that specify none. */
	defaultDeadlineMs: milliseconds,
	/** Maximum time until the first byte of an answer. */
	firstByteMs: milliseconds,
	/** Maximum time between two bytes of an answer. */
	idleMs: milliseconds,
});

const callRuleSchema = z.strictObject({
	/** HTTP method, or `*`. */
	method: z.string().regex(/^(\*|[A-Z]+)$/, 'must be * or an HTTP method in upper case'),
	/** Path below the service; a trailing `*` matches any suffix. */
	path: z.string().startsWith('/'),
	repeat: z.enum(RepeatRule),
	residency: z.enum(ResidencyRule).optional(),
	unticketed: z.enum(UnticketedRule).default(UnticketedRule.Refuse),
});

const defaultClasses = {
	[RequestClass.Urgent]: { defaultDeadlineMs: 10_000, firstByteMs: 5_000, idleMs: 5_000 },
	[RequestClass.Normal]: { defaultDeadlineMs: 30_000, firstByteMs: 15_000, idleMs: 10_000 },
	[RequestClass.Draft]: { defaultDeadlineMs: 300_000, firstByteMs: 120_000, idleMs: 30_000 },
};

const promptCacheSchema = z.strictObject({
	/** Number of tokens of prompts and answers that one target can cache. */
	tokens: z.number().int().positive(),
});

const warmUpSchema = z.strictObject({
	/** How long a target is cold after its start. */
	durationMs: z.number().nonnegative(),
	/** Requests per second that a cold target accepts from all entries together. */
	requestsPerSecond: z.number().nonnegative(),
});

const serviceSchema = z.strictObject({
	name: createNameSchema<ServiceName>(),
	kind: z.enum(ServiceKind),
	model: createNameSchema<ModelName>().optional(),
	residency: z.enum(ResidencyRule),
	/** For calls that no rule matches. */
	repeat: z.enum(RepeatRule),
	rules: z.array(callRuleSchema).default([]),
	classes: z
		.strictObject({
			[RequestClass.Urgent]: classSchema,
			[RequestClass.Normal]: classSchema,
			[RequestClass.Draft]: classSchema,
		})
		.default(defaultClasses),
	/** Number of requests that a target runs concurrently, unless the target specifies it. */
	slotsPerTarget: z.number().int().positive().default(8),
	/** Size of a target's prompt cache, for engines that cache prompts. */
	promptCache: promptCacheSchema.optional(),
	/** Limits of the load on targets that have just started. */
	warmUp: warmUpSchema.optional(),
});

const targetSchema = z.strictObject({
	id: createNameSchema<TargetId>(),
	service: createNameSchema<ServiceName>(),
	region: createNameSchema<RegionName>(),
	zone: createNameSchema<ZoneName>(),
	/** Base URL, `http://127.0.0.1:9001`. */
	url: z.url({ protocol: /^https?$/ }),
	role: z.enum(TargetRole).default(TargetRole.Serve),
	intent: z.enum(TargetIntent).default(TargetIntent.Live),
	/** Whether the target rejects an order with an outdated fencing token. */
	checksFencing: z.boolean().default(false),
	/** Number of requests that the target runs concurrently; defaults to the service's `slotsPerTarget`. */
	slots: z.number().int().positive().optional(),
});

const manifestSchema = z.strictObject({
	regions: z.array(regionSchema).min(1),
	links: z.array(linkSchema).default([]),
	organisations: z.array(organisationSchema).min(1),
	/** Whether requests need a key of an organisation, except those on public routes. */
	requiresKeys: z.boolean().default(false),
	models: z.array(modelSchema).default([]),
	services: z.array(serviceSchema).min(1),
	targets: z.array(targetSchema).default([]),
	/** Routes for callers that address services by host and path. */
	routes: z.array(routeSchema).default([]),
	/** Limits of callers' requests; defaults to the entry's settings. */
	callerLimits: callerLimitsSchema.optional(),
});

export type Manifest = z.output<typeof manifestSchema>;
export type ManifestRegion = Manifest['regions'][number];
export type ManifestLink = Manifest['links'][number];
export type ManifestOrganisation = Manifest['organisations'][number];
export type ManifestModel = Manifest['models'][number];
export type ManifestService = Manifest['services'][number];
export type ManifestTarget = Manifest['targets'][number];
export type ManifestCallRule = ManifestService['rules'][number];
export type ManifestClassLimits = ManifestService['classes'][RequestClass];

/** An error in a document, with its place as a path such as `services[2].rules[0].path`. */
export interface ValidationIssue {
	readonly place: string;
	readonly problem: string;
}

function formatPlace(path: readonly PropertyKey[]): string {
	return path.reduce<string>((place, part) => {
		if (typeof part === 'number') {
			return `${place}[${part}]`;
		}
		return place === '' ? String(part) : `${place}.${String(part)}`;
	}, '');
}

function findDuplicateNames(place: string, names: readonly string[]): ValidationIssue[] {
	const seen = new Set<string>();
	const issues: ValidationIssue[] = [];
	for (const [index, name] of names.entries()) {
		if (seen.has(name)) {
			issues.push({ place: `${place}[${index}]`, problem: `${name} is defined more than once` });
		}
		seen.add(name);
	}
	return issues;
}

function findUnknownName(
	place: string,
	name: string | undefined,
	known: ReadonlySet<string>,
): ValidationIssue[] {
	if (name === undefined || known.has(name)) {
		return [];
	}
	return [{ place, problem: `${name} is not defined in this manifest` }];
}

function findOrganisationIssues(
	place: string,
	{ home, homes }: ManifestOrganisation,
	regions: ReadonlySet<string>,
): ValidationIssue[] {
	return [
		...findUnknownName(`${place}.home`, home, regions),
		...homes.flatMap((name, index) => findUnknownName(`${place}.homes[${index}]`, name, regions)),
	];
}

/** Reports keys that identify two organisations. Names the organisations, since operators know no digests. */
function findSharedKeys(organisations: readonly ManifestOrganisation[]): ValidationIssue[] {
	const owners = new Map<string, string>();
	const issues: ValidationIssue[] = [];
	for (const [index, { name, keys }] of organisations.entries()) {
		for (const [position, digest] of keys.entries()) {
			const owner = owners.get(digest);
			if (owner !== undefined) {
				const place = `organisations[${index}].keys[${position}]`;
				issues.push({ place, problem: `${name} has a key that ${owner} has already` });
			}
			owners.set(digest, owner ?? name);
		}
	}
	return issues;
}

/** Checks what the schema does not: that names are unique and that every reference is defined. */
function findReferenceIssues(manifest: Manifest): ValidationIssue[] {
	const regions = new Set<string>(manifest.regions.map(region => region.name));
	const models = new Set<string>(manifest.models.map(model => model.name));
	const services = new Set<string>(manifest.services.map(service => service.name));
	const zonesByRegion = new Map<string, ReadonlySet<string>>(
		manifest.regions.map(region => [region.name, new Set<string>(region.zones)]),
	);
	return [
		...findDuplicateNames('regions', [...manifest.regions.map(region => region.name)]),
		...findDuplicateNames('organisations', [
			...manifest.organisations.map(organisation => organisation.name),
		]),
		...findDuplicateNames('models', [...manifest.models.map(model => model.name)]),
		...findDuplicateNames('services', [...manifest.services.map(service => service.name)]),
		...findDuplicateNames('targets', [...manifest.targets.map(target => target.id)]),
		...findDuplicateNames('routes', [...manifest.routes.map(route => route.name)]),
		...manifest.routes.flatMap((route, index) => [
			...route.homes.flatMap((home, place) =>
				findUnknownName(`routes[${index}].homes[${place}]`, home, regions),
			),
			...route.services.flatMap(({ service }, place) =>
				findUnknownName(`routes[${index}].services[${place}].service`, service, services),
			),
		]),
		...manifest.links.flatMap((link, index) =>
			link.between.flatMap((end, side) => findUnknownName(`links[${index}].between[${side}]`, end, regions)),
		),
		...manifest.organisations.flatMap((organisation, index) =>
			findOrganisationIssues(`organisations[${index}]`, organisation, regions),
		),
		...findSharedKeys(manifest.organisations),
		...manifest.services.flatMap((service, index) =>
			findUnknownName(`services[${index}].model`, service.model, models),
		),
		...manifest.targets.flatMap((target, index) => [
			...findUnknownName(`targets[${index}].service`, target.service, services),
			...findUnknownName(`targets[${index}].region`, target.region, regions),
			...findUnknownName(
				`targets[${index}].zone`,
				target.zone,
				zonesByRegion.get(target.region) ?? new Set(),
			),
		]),
	];
}

/** Checks a parsed JSON document; returns all errors of the schema, or all errors of names and references. */
export function checkManifest(document: unknown): Result<Manifest, readonly ValidationIssue[]> {
	const parsed = manifestSchema.safeParse(document);
	if (!parsed.success) {
		const issues = parsed.error.issues.map(issue => ({
			place: formatPlace(issue.path),
			problem: issue.message,
		}));
		return err(issues);
	}
	const referenceIssues = findReferenceIssues(parsed.data);
	return referenceIssues.length > 0 ? err(referenceIssues) : ok(parsed.data);
}

/** Parses and checks the text of a manifest. */
export function parseManifest(text: string): Result<Manifest, readonly ValidationIssue[]> {
	try {
		return checkManifest(JSON.parse(text));
	} catch (error) {
		return err([
			{ place: '', problem: `is not JSON: ${error instanceof Error ? error.message : String(error)}` },
		]);
	}
}
