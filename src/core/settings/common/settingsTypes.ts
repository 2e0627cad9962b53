/**
 * Schemas of the value types in settings files, shared by all programs.
 */

import { z } from 'zod';

/** The address that a server listens on. */
export interface ListenAddress {
	readonly host: string;
	/** 0 lets the operating system choose a port, which is then written to the log and the address file. */
	readonly port: number;
}

const maxPort = 65_535;

/** An IP address and a port: `127.0.0.1:7001` or `[::1]:7001`. */
export const listenAddressSchema = z.string().transform((text, context): ListenAddress => {
	const match = /^(\[[0-9a-fA-F:]+\]|[0-9.]+):(\d+)$/.exec(text);
	const port = Number(match?.[2]);
	if (match?.[1] === undefined || port > maxPort) {
		context.addIssue({ code: 'custom', message: 'an IP address and a port, such as 127.0.0.1:7001' });
		return z.NEVER;
	}
	return { host: match[1].replace(/^\[|\]$/g, ''), port };
});

/** A base URL without a path, normalized to its origin. */
export const originUrlSchema = z.string().transform((text, context): string => {
	if (!URL.canParse(text) || !/^https?:\/\/[^/]+\/?$/.test(text)) {
		context.addIssue({ code: 'custom', message: 'a URL without a path, such as http://127.0.0.1:7001' });
		return z.NEVER;
	}
	return new URL(text).origin;
});

/** An integer within an inclusive range. */
export function createIntegerSchema(min: number, max: number): z.ZodType<number, string> {
	return z
		.string()
		.regex(/^\d+$/, `a whole number from ${min} to ${max}`)
		.transform(Number)
		.refine(value => value >= min && value <= max, `a whole number from ${min} to ${max}`);
}

/** A decimal number within an inclusive range. */
export function createNumberSchema(min: number, max: number): z.ZodType<number, string> {
	return createDecimalSchema(`a number from ${min} to ${max}`, min, max);
}

/** Seconds, as a decimal number within an inclusive range. */
export function createSecondsSchema(min: number, max: number): z.ZodType<number, string> {
	return createDecimalSchema(`seconds from ${min} to ${max}`, min, max);
}

/** A share, as a decimal number within an inclusive range. */
export function createShareSchema(min: number, max: number): z.ZodType<number, string> {
	return createDecimalSchema(`a share from ${min} to ${max}`, min, max);
}

function createDecimalSchema(allowed: string, min: number, max: number): z.ZodType<number, string> {
	return z
		.string()
		.regex(/^\d+(\.\d+)?$/, allowed)
		.transform(Number)
		.refine(value => value >= min && value <= max, allowed);
}

/** A name that is valid in the manifest. */
export function createNameSchema<TName extends string>(): z.ZodType<TName, string> {
	return z
		.string()
		.regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'a name of lower-case letters, digits, dots and hyphens')
		.transform(value => value as TName);
}

/** A boolean, written as `yes` or `no`. */
export const yesOrNoSchema = z.enum(['yes', 'no'], 'yes or no').transform(value => value === 'yes');
