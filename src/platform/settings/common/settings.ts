/**
 * Settings: an INI text, checked whole against a schema. Every fault is named with its section, key, value
 * and what is allowed; a key that the schema does not know is a fault too, since a misspelt limit that is
 * silently ignored is found only when the limit is needed.
 */

import { parse } from 'ini';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

/** One fault of a settings file. */
export interface SettingsFault {
	readonly section: string;
	readonly key: string;
	/** The value as it stands in the file, undefined where it is missing; of a secret only its length. */
	readonly value: string | undefined;
	/** What is allowed. */
	readonly allowed: string;
}

/**
 * Keys whose values are secrets. Faults go to logs and to the output of build pipelines, which many people
 * read; a ticket key found there lets its reader sign tickets.
 */
const secretKeys: ReadonlySet<string> = new Set(['key', 'previous_key']);

/** Sections where a misspelt key is taken for a secret. */
const secretSections: ReadonlySet<string> = new Set(['tickets']);

/** Reads and checks the text of a settings file. */
export function parseSettings<TSchema extends z.ZodType>(
	schema: TSchema,
	text: string,
): Result<z.output<TSchema>, readonly SettingsFault[]> {
	const document: unknown = parse(text);
	const parsed = schema.safeParse(document);
	if (parsed.success) {
		return ok(parsed.data);
	}
	return err(parsed.error.issues.flatMap(issue => createFaults(issue, document)));
}

/** One line a fault, for a person. */
export function formatSettingsFault(fault: SettingsFault): string {
	const place = fault.key === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.key}`;
	const value = fault.value === undefined ? 'is missing' : `= ${fault.value}`;
	return `${place} ${value}: ${fault.allowed}`;
}

function createFaults(issue: z.core.$ZodIssue, document: unknown): SettingsFault[] {
	const [section = '', key = ''] = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(unknownKey => ({
			section: section === '' ? unknownKey : section,
			key: section === '' ? '' : unknownKey,
			value: formatValue(findValue(document, [...issue.path, unknownKey]), secretSections.has(section)),
			allowed: section === '' ? 'no such section' : 'no such key in this section',
		}));
	}
	const value = formatValue(findValue(document, issue.path), secretKeys.has(key));
	return [{ section, key, value, allowed: issue.message }];
}

function findValue(document: unknown, path: readonly PropertyKey[]): string | undefined {
	let value = document;
	for (const part of path) {
		value =
			typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[part] : undefined;
	}
	// The INI library reads the words true and false as booleans; the fault must show them all the same.
	return typeof value === 'string' || typeof value === 'boolean' ? String(value) : undefined;
}

function formatValue(value: string | undefined, isSecret: boolean): string | undefined {
	return value !== undefined && isSecret ? `(hidden, ${value.length} characters)` : value;
}
