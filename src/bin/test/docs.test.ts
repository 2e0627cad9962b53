/**
 * Checks that the documentation matches the code: names defined in the code are documented, and names in the
 * tables of the pages exist in the code.
 */

import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { z } from 'zod';
import { AuditKind } from '../../core/audit/common/auditTrail';
import { errorAnswers, ErrorKind } from '../../core/errors/common/errorKinds';
import { headers } from '../../core/headers/common/headers';
import { checkManifest, parseManifest } from '../../core/manifest/common/manifest';
import { entrySettingsSchema } from '../../core/settings/common/entrySettings';
import { parseSettings } from '../../core/settings/common/settings';
import { listEntryMetrics } from '../../core/telemetry/common/entryMetricDefinitions';
import { standinSettingsSchema } from '../../standin/common/standinSettings';

const root = resolve(__dirname, '../../..');

function readPage(name: string): string {
	return readFileSync(join(root, name), 'utf8');
}

/** Returns the text below a heading, up to the next heading of the same or a higher level. */
function findSection(page: string, heading: string): string {
	const level = heading.indexOf(' ');
	const lines = page.split('\n');
	const start = lines.indexOf(heading);
	const end = lines.findIndex(
		(line, index) => index > start && /^#+ /.test(line) && line.indexOf(' ') <= level,
	);
	expect(start).toBeGreaterThanOrEqual(0);
	return lines.slice(start + 1, end < 0 ? undefined : end).join('\n');
}

/** Lists the cells of all table rows, without the separator rows below the headings. */
function listTableRows(section: string): string[][] {
	return section
		.split('\n')
		.filter(line => line.startsWith('|') && !/^\|[-|]+\|$/.test(line))
		.map(line =>
			line
				.split('|')
				.slice(1, -1)
				.map(cell => cell.trim()),
		);
}

/** Lists the texts in backticks in one column of all tables. */
function listCodeSpans(section: string, column = 0): string[] {
	return listTableRows(section).flatMap(cells =>
		[...(cells[column] ?? '').matchAll(/`([^`]+)`/g)].map(match => match[1] ?? ''),
	);
}

/** Lists each key of a settings schema as `section.key`, or as `section.NAME.key` in named sections. */
function listSettingsKeys(schema: z.ZodType): string[] {
	const json = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });
	return Object.entries(json.properties ?? {}).flatMap(([section, below]) => {
		if (typeof below !== 'object') {
			return [];
		}
		const named = typeof below.additionalProperties === 'object' ? below.additionalProperties : undefined;
		if (named?.properties !== undefined) {
			return Object.keys(named.properties).map(key => `${section}.NAME.${key}`);
		}
		return Object.keys(below.properties ?? {}).map(key => `${section}.${key}`);
	});
}

/** Lists each documented key as `section.key`. An empty first cell means the section of the row above. */
function listDocumentedKeys(section: string): string[] {
	let current = '';
	return listTableRows(section)
		.slice(1)
		.flatMap(([sectionCell = '', keyCell = '']) => {
			current = /\[(.+)\]/.exec(sectionCell)?.[1] ?? current;
			const key = /`(.+)`/.exec(keyCell)?.[1];
			return key === undefined ? [] : [`${current}.${key}`];
		});
}

function listKeys(value: unknown): string[] {
	if (Array.isArray(value)) {
		return value.flatMap(listKeys);
	}
	if (typeof value !== 'object' || value === null) {
		return [];
	}
	return Object.entries(value).flatMap(([key, below]) => [key, ...listKeys(below)]);
}

function readCodeBlocks(page: string, language: string): string[] {
	const pattern = new RegExp(`\`\`\`${language}\\n([\\s\\S]*?)\`\`\``, 'g');
	return [...page.matchAll(pattern)].map(match => match[1] ?? '');
}

describe('OPERATIONS.md', () => {
	const page = readPage('docs/OPERATIONS.md');

	it('has one row for each error kind, with the status, outcome and passing of the table', () => {
		const rows = listTableRows(findSection(page, '## Error kinds')).slice(1);
		const documented = rows.map(([kind = '', status, outcome, passes]) => [
			kind.replace(/`/g, ''),
			status,
			outcome,
			passes,
		]);
		const expected = Object.values(ErrorKind).map(kind => {
			const { status, outcome, isTemporary: isPassing } = errorAnswers[kind];
			return [kind, String(status), outcome, isPassing ? 'yes' : ''];
		});
		expect(documented).toEqual(expected);
	});

	it('has one row for each audit kind', () => {
		expect(listCodeSpans(findSection(page, '## The audit trail'))).toEqual(Object.values(AuditKind));
	});
});

describe('METRICS.md', () => {
	it('names every metric with its type of labels, and no other', () => {
		const rows = listTableRows(readPage('docs/METRICS.md')).filter(
			cells => cells[0]?.startsWith('`') === true,
		);
		const documented = rows.map(([name = '', , labels = '']) => `${name} ${labels}`.trim()).sort();
		const expected = listEntryMetrics().map(({ name, labelNames }) =>
			`\`${name}\` ${labelNames.map(label => `\`${label}\``).join(', ')}`.trim(),
		);
		expect(documented).toEqual(expected.sort());
	});
});

describe('SETTINGS.md', () => {
	const page = readPage('docs/SETTINGS.md');

	it.each([
		['## anvilroad-entry', entrySettingsSchema],
		['## anvilroad-standin', standinSettingsSchema],
	])('has a row for each key below %s, and no other', (heading, schema) => {
		const documented = listDocumentedKeys(findSection(page, heading));
		expect(documented.sort()).toEqual(listSettingsKeys(schema).sort());
	});

	it('shows an entry file that passes the check', () => {
		const [example = ''] = readCodeBlocks(page, 'ini');
		expect(parseSettings(entrySettingsSchema, example)._unsafeUnwrap().instance.id).toBe('entry-kingston-1');
	});
});

describe('MANIFEST.md', () => {
	const page = readPage('docs/MANIFEST.md');

	it('shows a manifest that passes the check', () => {
		const [example = ''] = readCodeBlocks(page, 'json');
		expect(parseManifest(example).isOk()).toBe(true);
	});

	it('has a row or a heading for each key of a manifest, defaults included', () => {
		const [example = ''] = readCodeBlocks(page, 'json');
		const manifest = checkManifest(JSON.parse(example))._unsafeUnwrap();
		const keys = [...new Set([...listKeys(manifest), 'residency', 'unticketed'])];
		const described = new Set(
			[...page.split('## Example')[0]!.matchAll(/`([\w.]+)`/g)].map(match => match[1]),
		);
		const missing = keys.filter(key => !described.has(key) && !described.has(`classes.${key}`));
		expect(missing).toEqual([]);
	});
});

describe('CALLING.md', () => {
	it('describes each header that callers send or receive', () => {
		const { organisation, deadlineMs, requestClass, prefixKey, ticket, requestId, outcome, error } = headers;
		const named = listCodeSpans(readPage('docs/CALLING.md'));
		expect(named).toEqual(
			expect.arrayContaining([
				organisation,
				deadlineMs,
				requestClass,
				prefixKey,
				ticket,
				requestId,
				outcome,
				error,
			]),
		);
		const known: readonly string[] = Object.values(headers);
		expect(named.filter(name => name.startsWith('anvilroad-') && !known.includes(name))).toEqual([]);
	});
});

describe('GLOSSARY.md', () => {
	it('lists the verbs that the lint rule allows', () => {
		const allowed = [...readPage('scripts/functionVerbs.mjs').matchAll(/^\t'(\w+)',$/gm)].map(
			match => match[1],
		);
		const listed = listCodeSpans(findSection(readPage('docs/GLOSSARY.md'), '## Verbs'), 1);
		expect(listed.sort()).toEqual(allowed.sort());
	});
});

describe('links between pages', () => {
	const pages = [
		'README.md',
		'CONTRIBUTING.md',
		...readdirSync(join(root, 'docs'), { recursive: true, encoding: 'utf8' })
			.filter(name => name.endsWith('.md'))
			.map(name => `docs/${name}`),
	];

	it.each(pages)('lead from %s to headings that exist', name => {
		const links = [...readPage(name).matchAll(/\]\(([^):]+\.md)?(#[^)]+)?\)/g)];
		const broken = links.filter(([, file, anchor]) => {
			const target = file === undefined ? name : join(dirname(name), file);
			return !existsSync(join(root, target)) || !hasAnchor(target, anchor);
		});
		expect(broken.map(([link]) => link)).toEqual([]);
	});
});

function hasAnchor(name: string, anchor: string | undefined): boolean {
	const headings = [...readPage(name).matchAll(/^#+ (.+)$/gm)].map(match => match[1] ?? '');
	const anchors = headings.map(
		text =>
			`#${text
				.toLowerCase()
				.replace(/[^\w\- ]/g, '')
				.replace(/ /g, '-')}`,
	);
	return anchor === undefined || anchors.includes(anchor);
}
