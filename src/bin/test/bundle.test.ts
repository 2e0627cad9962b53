import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const root = join(__dirname, '../../..');
const entryFolders = ['src/base', 'src/core', 'src/entry', 'platform/common', 'platform/node'];
const importPattern = /import \{([^}]*)\} from 'undici';/g;

/** Lists the values that the sources of the entry import from undici. */
function listImportedNames(): string[] {
	const files = entryFolders.flatMap(folder =>
		readdirSync(join(root, folder), { recursive: true, encoding: 'utf8' })
			.filter(file => file.endsWith('.ts') && !file.includes('test'))
			.map(file => join(root, folder, file)),
	);
	const lists = files.flatMap(file => [...readFileSync(file, 'utf8').matchAll(importPattern)]);
	return lists.flatMap(([, names = '']) => names.split(',').map(name => name.trim())).filter(Boolean);
}

describe('entry bundle', () => {
	// Guards against an entry that crashes at startup because undiciCore.cjs lacks an export.
	it('contains every undici export that the entry imports', async () => {
		const bundledUndici = (await import(join(root, 'scripts/undiciCore.cjs'))) as Record<string, unknown>;
		const imported = listImportedNames();
		expect(imported).toContain('Pool');
		expect(imported.filter(name => bundledUndici[name] === undefined)).toEqual([]);
	});
});
