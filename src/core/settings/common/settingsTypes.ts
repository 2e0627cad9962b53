/**
 * The kinds of values that settings files hold, shared by the schemas of all programs.
 */

import { z } from 'zod';

/** Where a server listens. */
export interface ListenAddress {
	readonly host: string;
	/** 0 lets the system choose; the log and the address file then tell the port. */
	readonly port: number;
}

const largestPort = 65_535;

/** `127.0.0.1:7001`, or `[::1]:7001`. */
export const listenAddress = z.string().transform((text, context): ListenAddress => {
	const match = /^(\[[0-9a-fA-F:]+\]|[0-9.]+):(\d+)$/.exec(text);
	const port = Number(match?.[2]);
	if (match?.[1] === undefined || port > largestPort) {
		context.addIssue({ code: 'custom', message: 'an IP number and a port, such as 127.0.0.1:7001' });
		return z.NEVER;
	}
	return { host: match[1].replace(/^\[|\]$/g, ''), port };
});

/** A base URL without a path, normalized to its origin. */
export const originUrl = z.string().transform((text, context): string => {
	if (!URL.canParse(text) || !/^https?:\/\/[^/]+\/?$/.test(text)) {
		context.addIssue({ code: 'custom', message: 'a URL without a path, such as http://127.0.0.1:7001' });
		return z.NEVER;
	}
	return new URL(text).origin;
});

/** A whole number in a range, both ends included. */
export function createWholeNumber(least: number, most: number): z.ZodType<number, string> {
	return z
		.string()
		.regex(/^\d+$/, `a whole number from ${least} to ${most}`)
		.transform(Number)
		.refine(value => value >= least && value <= most, `a whole number from ${least} to ${most}`);
}

/** A number, with fractions, in a range; both ends included. */
export function createNumber(least: number, most: number): z.ZodType<number, string> {
	return createFraction(`a number from ${least} to ${most}`, least, most);
}

/** Seconds, with fractions, in a range; both ends included. */
export function createSeconds(least: number, most: number): z.ZodType<number, string> {
	return createFraction(`seconds from ${least} to ${most}`, least, most);
}

/** A share, with fractions, in a range; both ends included. */
export function createShare(least: number, most: number): z.ZodType<number, string> {
	return createFraction(`a share from ${least} to ${most}`, least, most);
}

function createFraction(allowed: string, least: number, most: number): z.ZodType<number, string> {
	return z
		.string()
		.regex(/^\d+(\.\d+)?$/, allowed)
		.transform(Number)
		.refine(value => value >= least && value <= most, allowed);
}

/** A name as the manifest knows them. */
export function createName<TName extends string>(): z.ZodType<TName, string> {
	return z
		.string()
		.regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'a name of lower-case letters, digits, dots and hyphens')
		.transform(value => value as TName);
}

/** `yes` or `no`. */
export const yesOrNo = z.enum(['yes', 'no'], 'yes or no').transform(value => value === 'yes');
