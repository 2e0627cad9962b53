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
	/** The value as it stands in the file, or undefined where it is missing. */
	readonly value: string | undefined;
	/** What is allowed. */
	readonly allowed: string;
}

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
			value: findValue(document, [...issue.path, unknownKey]),
			allowed: section === '' ? 'no such section' : 'no such key in this section',
		}));
	}
	return [{ section, key, value: findValue(document, issue.path), allowed: issue.message }];
}

function findValue(document: unknown, path: readonly PropertyKey[]): string | undefined {
	let value = document;
	for (const part of path) {
		value =
			typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[part] : undefined;
	}
	return typeof value === 'string' ? value : undefined;
}
