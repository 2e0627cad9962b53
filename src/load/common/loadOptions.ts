/**
 * The options of a load run and their validation. The tool is meant for benchmarks on one machine. It accepts only
 * loopback hosts and limits rate, duration and body size, so that a mistake on the command line cannot put load on
 * another service or exhaust the machine.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import { RequestClass } from '../../core/requests/common/requestClass';

/** Determines when the next request is sent. */
export enum LoadMode {
	/** Open loop: at its planned time, regardless of how many requests are in flight. */
	Open = 'open',
	/** Closed loop: as soon as a connection is free, so that the rate depends on the response times. */
	Closed = 'closed',
}

/** Distribution of the planned arrivals over an open-loop run. */
export enum ArrivalProfile {
	Steady = 'steady',
	Poisson = 'poisson',
	/** Poisson arrivals at half of the mean rate, with a short peak at the start of each period. */
	Burst = 'burst',
}

/** Longest duration of a run, in milliseconds. */
export const maxRunDurationMs = 120_000;
/** Largest number of requests that one run may plan. */
export const maxPlannedArrivals = 2_000_000;
const maxRatePerSecond = 50_000;
const maxConnectionsPerUrl = 1_024;
const maxBodyBytes = 16 * 1_048_576;
const maxDeadlineMs = 86_400_000;
const loopbackHostPattern = /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]|localhost)$/;

/** Returns whether the host of a URL is a loopback address. */
export function isLoopbackUrl(url: string): boolean {
	return URL.canParse(url) && loopbackHostPattern.test(new URL(url).hostname);
}

/** Parses a base URL with a loopback host and normalizes it to its origin. */
export const loopbackOriginSchema = z
	.string()
	.refine(isLoopbackUrl, 'only loopback hosts are allowed: 127.0.0.1, [::1] or localhost')
	.transform(url => new URL(url).origin);

const loadOptionsSchema = z.strictObject({
	targetUrls: z.array(loopbackOriginSchema).min(1, 'at least one base URL is required'),
	path: z.string().startsWith('/', 'must begin with /'),
	method: z.string().regex(/^[A-Z]+$/, 'must be an HTTP method in upper case'),
	bodyBytes: z.number().int().min(0).max(maxBodyBytes),
	/** Mean rate of an open-loop run, in requests per second. */
	ratePerSecond: z.number().positive().max(maxRatePerSecond),
	durationMs: z.number().int().positive().max(maxRunDurationMs),
	mode: z.enum(LoadMode),
	profile: z.enum(ArrivalProfile),
	/** Number of connections to each base URL. */
	connections: z.number().int().positive().max(maxConnectionsPerUrl),
	seed: z.number().int(),
	organisation: z.string().min(1).optional(),
	requestClass: z.enum(RequestClass).optional(),
	deadlineMs: z.number().int().positive().max(maxDeadlineMs).optional(),
	/** Whether the body of each answer must equal the body of its request. */
	isEcho: z.boolean(),
	/** Whether each successful answer must have the outcome header with the value for an answered request. */
	isOutcomeExpected: z.boolean(),
});

export type LoadOptions = z.output<typeof loadOptionsSchema>;

/** Validates all options. Each error is one line that begins with the name of the option. */
export function checkLoadOptions(raw: z.input<typeof loadOptionsSchema>): Result<LoadOptions, string[]> {
	const parsed = loadOptionsSchema.safeParse(raw);
	if (!parsed.success) {
		return err(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`));
	}
	if ((parsed.data.ratePerSecond * parsed.data.durationMs) / 1_000 > maxPlannedArrivals) {
		return err([`ratePerSecond: rate and duration would plan more than ${maxPlannedArrivals} requests`]);
	}
	return ok(parsed.data);
}
