/**
 * Compiles the sources for tests that run a program as a separate process. The module loader of jest cannot load
 * yargs, which is an ECMAScript module, while a Node process can.
 */

import { transformFileSync } from '@swc/core';
import { copyFileSync, cpSync, mkdirSync, mkdtempSync, readdirSync, writeFileSync } from 'node:fs';
import { dirname, join, relative, resolve } from 'node:path';

const root = resolve(__dirname, '../../..');
const cache = join(root, 'node_modules/.cache');
const options = {
	jsc: { parser: { syntax: 'typescript' }, target: 'es2023' },
	module: { type: 'commonjs', ignoreDynamic: true },
	swcrc: false,
} as const;

/**
 * Compiles all sources of the given folders below `src` and of the `platform` folder, and returns the output
 * folder.
 *
 * @param sources The root of another release's sources, which runs with the packages that are installed here.
 */
export function buildSources(folders: readonly string[], sources = root): string {
	mkdirSync(cache, { recursive: true });
	const output = mkdtempSync(join(cache, 'anvilroad-test-'));
	copyFileSync(join(sources, 'package.json'), join(output, 'package.json'));
	cpSync(join(sources, 'charts'), join(output, 'charts'), { recursive: true });
	for (const folder of [...folders.map(name => join('src', name)), 'platform']) {
		for (const file of readdirSync(join(sources, folder), { recursive: true, encoding: 'utf8' })) {
			const source = join(sources, folder, file);
			if (file.endsWith('.ts') && !file.split('/').includes('test')) {
				buildSource(source, join(output, relative(sources, source)).replace(/\.ts$/, '.js'));
			}
		}
	}
	return output;
}

function buildSource(source: string, target: string): void {
	mkdirSync(dirname(target), { recursive: true });
	writeFileSync(target, transformFileSync(source, options).code);
}
