import { execFileSync } from 'node:child_process';
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

describe('the flags of the entry', () => {
	const minYoungBytes = 4 * 1_048_576;

	function readDeployedFlags(): readonly string[] {
		const deployFile = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
		const flags = /^run = "node (.*) target\/entry\.js/m.exec(deployFile)?.[1] ?? '';
		return flags.split(' ');
	}

	// Guards against a start that compiles the whole bundle, because V8 rejects a code cache made with other flags.
	it('are those with which the code cache is created', () => {
		const script = readFileSync(join(root, 'scripts/bundleEntry.mjs'), 'utf8');
		const list = /const nodeFlags = \[([^\]]*)\]/.exec(script)?.[1] ?? '';
		expect([...list.matchAll(/'([^']+)'/g)].map(([, flag]) => flag)).toEqual(readDeployedFlags());
	});

	// Guards against a collection for every half megabyte: V8 derives a tiny young generation from a small memory.
	it('set the size of the young generation', () => {
		const print = "v8.getHeapSpaceStatistics().find(space => space.space_name === 'new_space').space_size";
		const youngBytes = Number(execFileSync(process.execPath, [...readDeployedFlags(), '-p', print]));
		expect(youngBytes).toBeGreaterThanOrEqual(minYoungBytes);
	});

	// Guards against full collections of an entry that receives few requests and is taken for idle.
	it('start no collections to shrink the heap of an idle process', () => {
		expect(readDeployedFlags()).toContain('--no-memory-reducer');
	});
});
