/**
 * Computes the differences between two manifests, each with its path in the document. Lists of objects with
 * unique names are compared by name, so that a target inserted at the top does not appear as a change of every
 * later target. Call rules are compared by position, because the first matching rule applies.
 */

import type { Manifest } from '../../core/manifest/common/manifest';

export enum ChangeKind {
	Added = 'added',
	Removed = 'removed',
	Changed = 'changed',
}

/** One difference between two manifests. */
export interface ManifestChange {
	readonly kind: ChangeKind;
	/** Path in the document, such as `services[bookings].slotsPerTarget`. */
	readonly place: string;
	readonly from: unknown;
	readonly to: unknown;
}

type JsonObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the key of a list member: its id, its name or, for a link, its two regions in sorted order. */
function findMemberKey(member: unknown): string | undefined {
	if (!isObject(member)) {
		return undefined;
	}
	const name = member.id ?? member.name;
	if (typeof name === 'string') {
		return name;
	}
	return Array.isArray(member.between) ? member.between.map(String).sort().join(' ') : undefined;
}

/** Maps the members of a list by key, or by position if any key is missing or occurs twice. */
function listMembersByKey(list: readonly unknown[]): Map<string, unknown> {
	const keys = list.map(findMemberKey);
	const hasUniqueKeys = keys.every(key => key !== undefined) && new Set(keys).size === keys.length;
	return new Map(list.map((member, index) => [hasUniqueKeys ? (keys[index] ?? '') : String(index), member]));
}

function compareMembers(
	from: ReadonlyMap<string, unknown>,
	to: ReadonlyMap<string, unknown>,
	formatPlace: (key: string) => string,
): ManifestChange[] {
	const keys = [...new Set([...from.keys(), ...to.keys()])];
	return keys.flatMap(key => compareValues(from.get(key), to.get(key), formatPlace(key)));
}

function isListOfObjects(value: unknown): value is readonly unknown[] {
	return Array.isArray(value) && value.every(isObject);
}

function compareValues(from: unknown, to: unknown, place: string): ManifestChange[] {
	if (from === undefined || to === undefined) {
		return from === to ? [] : [createChange(from, to, place)];
	}
	if (isListOfObjects(from) && isListOfObjects(to)) {
		return compareMembers(listMembersByKey(from), listMembersByKey(to), name => `${place}[${name}]`);
	}
	if (isObject(from) && isObject(to)) {
		return compareMembers(new Map(Object.entries(from)), new Map(Object.entries(to)), name =>
			place === '' ? name : `${place}.${name}`,
		);
	}
	return JSON.stringify(from) === JSON.stringify(to) ? [] : [createChange(from, to, place)];
}

function createChange(from: unknown, to: unknown, place: string): ManifestChange {
	if (from === undefined) {
		return { kind: ChangeKind.Added, place, from, to };
	}
	return { kind: to === undefined ? ChangeKind.Removed : ChangeKind.Changed, place, from, to };
}

/** Lists the changes in document order. Omitted settings are compared by their default values. */
export function compareManifests(from: Manifest, to: Manifest): ManifestChange[] {
	return compareValues(from, to, '');
}

/** Renders a change as `+ place value`, `- place` or `~ place: from -> to`. */
export function renderManifestChange(change: ManifestChange): string {
	switch (change.kind) {
		case ChangeKind.Added:
			return `+ ${change.place} ${JSON.stringify(change.to)}`;
		case ChangeKind.Removed:
			return `- ${change.place}`;
		case ChangeKind.Changed:
			return `~ ${change.place}: ${JSON.stringify(change.from)} -> ${JSON.stringify(change.to)}`;
	}
}
