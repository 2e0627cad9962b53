/**
 * Routes: which requests, by host and path, go to which services and under which rules. A route speaks of
 * what callers are promised; how the promise is kept is decided elsewhere.
 */

import { z } from 'zod';
import type { RegionName, RouteName, ServiceName } from '../../ids/common/ids';
import { createNameSchema, milliseconds } from './schemas';

/** What a route's requests are, and so how often one of them may be run. */
export enum RouteKind {
	/** May run more than once. */
	Idempotent = 'idempotent',
	/** Runs once at the most, whatever becomes of its answer. */
	AtMostOnce = 'at-most-once',
	/** Answered by a stream of events; runs once at the most unless it is resumable. */
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
	/** Matched without regard to case and without a port. */
	host: z.string().min(1).max(maxHostLength).toLowerCase(),
	/** The longest prefix of a host that begins a path selects the route. */
	pathPrefix: z.string().regex(/^\/(.*\/)?$/, 'neither begins nor ends with a slash'),
	kind: z.enum(RouteKind),
	/** A request is answered by then, whole or with a fault. */
	timeoutMs: milliseconds,
	/** The answer, or its first event, is meant to come within this time. */
	firstByteAimMs: milliseconds,
	/** The longest pause between two events of a stream that a caller does not mind. */
	longestGapMs: milliseconds.optional(),
	/** Targets that one request may be sent to. */
	attempts: z.number().int().positive().max(maxAttempts).default(1),
	/** 0 is the most urgent. */
	priority: z.number().int().nonnegative().default(1),
	/** Whether a stream that broke may go on at another target. */
	isResumable: z.boolean().default(false),
	/** The only regions that may see and answer the requests; empty where any may. */
	homes: z.array(createNameSchema<RegionName>()).default([]),
	/** The services that share the route's requests. */
	services: z.array(weightedServiceSchema).min(1),
});

export type ManifestRoute = z.output<typeof routeSchema>;

/** What a caller may send on one connection. */
export const callerLimitsSchema = z.strictObject({
	headBytes: z.number().int().positive(),
	bodyBytes: z.number().int().positive(),
	/** The head of a request must be whole after this time. */
	headTimeoutMs: milliseconds,
	/** A connection without a request is closed after this time. */
	idleTimeoutMs: milliseconds,
});

export type ManifestCallerLimits = z.output<typeof callerLimitsSchema>;

/** Whether a second run of a request of the route does no harm. */
export function isRepeatable(route: Pick<ManifestRoute, 'kind' | 'isResumable'>): boolean {
	return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Stream && route.isResumable);
}
