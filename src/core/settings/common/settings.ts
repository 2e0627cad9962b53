/**
 * Parses INI settings and validates them against a schema. Every error is reported with its section, key, value
 * and the allowed values. Unknown keys are errors as well: a misspelt limit that was silently ignored would only
 * be noticed when the limit is needed.
 */

import { parse } from 'ini';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

/** One error in a settings file. */
export interface SettingsError {
	/** The section name without brackets; empty for a key before the first section. */
	readonly section: string;
	/** Empty for an error that concerns the whole section. */
	readonly key: string;
	/** The value in the file, or only the length of a secret. Undefined for a section or a missing key. */
	readonly value: string | undefined;
	readonly isMissing: boolean;
	/** Describes the allowed values. */
	readonly allowed: string;
}

/**
 * Keys whose values are secrets. Errors appear in logs and in the output of build pipelines, and anyone with a
 * ticket key can sign tickets.
 */
const secretKeys: ReadonlySet<string> = new Set(['key', 'previous_key']);

/** Sections where every value is a secret: the key may be misspelt (`tickets`) or its section header missing. */
const secretSections: ReadonlySet<string> = new Set(['tickets', '']);

/** Parses and validates the text of a settings file. */
export function parseSettings<TSchema extends z.ZodType>(
	schema: TSchema,
	text: string,
): Result<z.output<TSchema>, readonly SettingsError[]> {
	const document: unknown = parse(text);
	const parsed = schema.safeParse(document);
	if (parsed.success) {
		return ok(parsed.data);
	}
	return err(parsed.error.issues.flatMap(issue => createErrors(issue, document)));
}

/** Formats an error as one line. */
export function formatSettingsError(error: SettingsError): string {
	const section = error.section === '' ? '' : `[${error.section}]`;
	const location = [section, error.key].filter(part => part !== '').join(' ');
	if (error.isMissing) {
		return `${location} is missing: ${error.allowed}`;
	}
	return error.value === undefined
		? `${location}: ${error.allowed}`
		: `${location} = ${error.value}: ${error.allowed}`;
}

function createErrors(issue: z.core.$ZodIssue, document: unknown): SettingsError[] {
	if (issue.code !== 'unrecognized_keys') {
		return [createError(findLocation(document, issue.path), issue.message)];
	}
	return issue.keys.map(unknownKey => {
		const location = findLocation(document, [...issue.path, unknownKey]);
		return createError(location, location.key === '' ? 'no such section' : 'no such key in this section');
	});
}

/** The location in the file that a schema path refers to. */
interface SettingsLocation {
	/** The section name without brackets; empty for a key before the first section. */
	readonly section: string;
	/** Empty if the location is a section. */
	readonly key: string;
	readonly value: string | undefined;
	readonly isMissing: boolean;
}

/**
 * Resolves a schema path in the document. The INI library nests dotted sections such as `[engine.k1]`, so only the
 * document shows how many path segments name the section. A path can also continue into a value that the schema
 * splits, such as a list.
 */
function findLocation(document: unknown, path: readonly PropertyKey[]): SettingsLocation {
	let value = document;
	for (const [depth, part] of path.entries()) {
		value = (value as Record<PropertyKey, unknown>)[part];
		if (typeof value === 'object' && value !== null) {
			continue;
		}
		const isMissing = value === undefined;
		const isSection = isMissing && depth === 0;
		const section = path.slice(0, isSection ? 1 : depth).join('.');
		// The INI library parses true and false as booleans; show them as they are written.
		const text = typeof value === 'string' || typeof value === 'boolean' ? String(value) : undefined;
		return { section, key: isSection ? '' : String(part), value: text, isMissing };
	}
	return { section: path.join('.'), key: '', value: undefined, isMissing: false };
}

function createError({ section, key, value, isMissing }: SettingsLocation, message: string): SettingsError {
	const isSecret = secretKeys.has(key) || secretSections.has(section);
	const isBeforeFirstSection = section === '' && key !== '';
	const allowed = isBeforeFirstSection ? 'no key is allowed before the first section' : message;
	return { section, key, value: formatValue(value, isSecret), isMissing, allowed };
}

function formatValue(value: string | undefined, isSecret: boolean): string | undefined {
	return value !== undefined && isSecret ? `(hidden, ${value.length} characters)` : value;
}
