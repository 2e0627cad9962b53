/**
 * Routes: which requests, by host and path, go to which services and under which rules. A route describes the service
 * level for callers; scheduling and retries are implemented elsewhere.
 */

import { z } from 'zod';
import type { RegionName, RouteName, ServiceName } from '../../ids/common/ids';
import { createNameSchema, milliseconds } from './schemas';

/** Kind of a route's requests, which determines how often a request may be run. */
export enum RouteKind {
	/** May run more than once. */
	Idempotent = 'idempotent',
	/** Runs at most once, even if its answer is lost. */
	AtMostOnce = 'at-most-once',
	/** Answered by a stream of events; runs at most once unless it is resumable. */
	Stream = 'stream',
}

const maxHostLength = 253;
const maxAttempts = 100;

const weightedServiceSchema = z.strictObject({
	service: createNameSchema<ServiceName>(),
	/** Share of the route's requests relative to its other services. */
	weight: z.number().nonnegative(),
});

export const routeSchema = z.strictObject({
	name: createNameSchema<RouteName>(),
	/** Host name without a port; matching is not case-sensitive. */
	host: z.string().min(1).max(maxHostLength).toLowerCase(),
	/** The route of a host with the longest matching prefix of the path is selected. */
	pathPrefix: z.string().regex(/^\/(.*\/)?$/, 'must begin and end with a slash'),
	kind: z.enum(RouteKind),
	/** Maximum time until a request is answered completely or with an error. */
	timeoutMs: milliseconds,
	/** Target time until the answer or its first event. */
	firstByteAimMs: milliseconds,
	/** Acceptable time between two events of a stream. */
	longestGapMs: milliseconds.optional(),
	/** Maximum number of targets that a request is sent to. */
	attempts: z.number().int().positive().max(maxAttempts).default(1),
	/** 0 is the most urgent. */
	priority: z.number().int().nonnegative().default(1),
	/** Whether an interrupted stream may be resumed at another target. */
	isResumable: z.boolean().default(false),
	/** Whether requests need no key although the manifest requires keys. */
	isPublic: z.boolean().default(false),
	/** The regions that may receive and answer the requests; empty if all may. */
	homes: z.array(createNameSchema<RegionName>()).default([]),
	/** The services that share the route's requests. */
	services: z.array(weightedServiceSchema).min(1),
});

export type ManifestRoute = z.output<typeof routeSchema>;

/** Limits of requests on a caller's connection. */
export const callerLimitsSchema = z.strictObject({
	headBytes: z.number().int().positive(),
	bodyBytes: z.number().int().positive(),
	/** Maximum time until the head of a request is complete. */
	headTimeoutMs: milliseconds,
	/** A connection without a request is closed after this time. */
	idleTimeoutMs: milliseconds,
});

export type ManifestCallerLimits = z.output<typeof callerLimitsSchema>;

/** Whether a request of the route may be run again. */
export function isRepeatable(route: Pick<ManifestRoute, 'kind' | 'isResumable'>): boolean {
	return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Stream && route.isResumable);
}
