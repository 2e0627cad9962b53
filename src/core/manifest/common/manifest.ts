/**
 * The manifest: the operators' single statement of what should be running, made by their build pipeline.
 * The schema here is the only reader of it; `anvilroadctl check manifest` and every entry use the same
 * one. A manifest is accepted whole or not at all, with every fault named by its place.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type {
	ModelName,
	OrganisationName,
	RegionName,
	ServiceName,
	TargetId,
	ZoneName,
} from '../../ids/common/ids';
import { RequestClass } from '../../requests/common/requestClass';
import { callerLimitsSchema, routeSchema } from './routes';
import { createNameSchema, milliseconds } from './schemas';

/** What a service's targets are. */
export enum ServiceKind {
	/** A model engine: batches continuously, caches prefixes, streams. */
	Engine = 'engine',
	/** Any other HTTP service. */
	Plain = 'plain',
}

/** How often a call may be sent to targets. */
export enum RepeatRule {
	/** May be retried: running it twice does what running it once does. */
	Idempotent = 'idempotent',
	/** Payments and the like: needs a ticket and is never sent a second time. */
	AtMostOnce = 'at-most-once',
}

/** What happens to an at-most-once call without a ticket. */
export enum UnticketedRule {
	Refuse = 'refuse',
	/** Run it once; the caller's own resends are then not guarded. */
	RunOnce = 'run-once',
}

/** Where a service's requests may be answered. */
export enum ResidencyRule {
	/** Only in the home region of the request's organisation. */
	Home = 'home',
	/** In any region that has targets of the service. */
	Any = 'any',
}

/** What a target is asked to do. */
export enum TargetRole {
	Serve = 'serve',
	/** Keeps its models but takes no requests. */
	Standby = 'standby',
}

/** What the manifest wants of a target's place in the fleet. */
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
	/** The part of the link that requests sent away may fill. */
	sharePercent: z.number().min(0).max(100).default(50),
});

const organisationSchema = z.strictObject({
	name: createNameSchema<OrganisationName>(),
	home: createNameSchema<RegionName>(),
	/** Share of a full service relative to other organisations. */
	weight: z.number().positive().default(1),
});

const modelSchema = z.strictObject({
	name: createNameSchema<ModelName>(),
	version: z.string().min(1),
	weightBytes: z.number().int().positive(),
	adapters: z.array(z.string().min(1)).default([]),
});

const classSchema = z.strictObject({
	/** Deadline of requests that carry none. */
	defaultDeadlineMs: milliseconds,
	/** The longest silence before the first byte of an answer. */
	firstByteMs: milliseconds,
	/** The longest silence between two bytes of an answer. */
	idleMs: milliseconds,
});

const callRuleSchema = z.strictObject({
	/** HTTP method, or `*`. */
	method: z.string().regex(/^(\*|[A-Z]+)$/, 'is neither * nor a method in capitals'),
	/** Path below the service; a trailing `*` matches any rest. */
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
	/** Tokens of prompts and answers that fit into one target's memory. */
	tokens: z.number().int().positive(),
});

const warmUpSchema = z.strictObject({
	/** How long a target is cold after its start. */
	durationMs: z.number().nonnegative(),
	/** Requests a second that a cold target takes from all entries together. */
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
	/** Requests that one target of the service runs at a time, where the target does not say. */
	slotsPerTarget: z.number().int().positive().default(8),
	/** What a target of the service holds of prompts, where it is an engine that caches them. */
	promptCache: promptCacheSchema.optional(),
	/** How targets that have just started are spared. */
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
	/** Whether the target refuses an order that carries an old fencing number. */
	checksFencing: z.boolean().default(false),
	/** Requests it runs at a time; the service's `slotsPerTarget` where left out. */
	slots: z.number().int().positive().optional(),
});

const manifestSchema = z.strictObject({
	regions: z.array(regionSchema).min(1),
	links: z.array(linkSchema).default([]),
	organisations: z.array(organisationSchema).min(1),
	models: z.array(modelSchema).default([]),
	services: z.array(serviceSchema).min(1),
	targets: z.array(targetSchema).default([]),
	/** Which requests go where, for callers that know hosts and paths. */
	routes: z.array(routeSchema).default([]),
	/** Bounds of what callers may send; the entry's settings hold where left out. */
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

/** One fault of a document, with its place as a path such as `services[2].rules[0].path`. */
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
			issues.push({ place: `${place}[${index}]`, problem: `${name} stands twice` });
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

/** Checks what the schema cannot: that names are unique and that every reference leads somewhere. */
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
			findUnknownName(`organisations[${index}].home`, organisation.home, regions),
		),
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

/** Checks a parsed JSON document; every fault is given, in the order of the document. */
export function checkManifest(document: unknown): Result<Manifest, readonly ValidationIssue[]> {
	const parsed = manifestSchema.safeParse(document);
	if (!parsed.success) {
		const issues = parsed.error.issues.map(issue => ({
			place: formatPlace(issue.path),
			problem: issue.message,
		}));
		return err(issues);
	}
	const faults = findReferenceIssues(parsed.data);
	return faults.length > 0 ? err(faults) : ok(parsed.data);
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
