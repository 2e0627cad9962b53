/**
 * Bundles the entry with all its imports into one file and writes the V8 code cache next to it. An instance that
 * restarts under load must be ready soon: loading some four hundred files took 0.9 s of processor time, loading one
 * file takes 0.45 s. `target/entry.js` starts the bundle from the code cache.
 */

import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** The flags of the deploy file. */
const nodeFlags = [
	'--max-old-space-size=200',
	'--single-threaded-gc',
	'--initial-old-space-size=24',
	'--min-semi-space-size=4',
	'--max-semi-space-size=4',
	'--no-memory-reducer',
];

const bundleFile = 'target/entryBundle.js';
/** The shebang line, which is a syntax error inside a function body. */
const firstLinePattern = /^#!.*/;

rmSync(`${bundleFile}.cache`, { force: true });

/** Maps packages to the smaller modules that are bundled instead of them. */
const replacementModules = new Map([
	['undici', resolve('scripts/undiciCore.cjs')],
	['string-width', resolve('scripts/plainTextWidth.cjs')],
]);

/** Excludes package code that the entry never uses but would load at startup. */
const replacePackages = {
	name: 'replace-packages',
	setup({ onResolve }) {
		onResolve({ filter: /^(undici|string-width)$/ }, ({ path }) => ({ path: replacementModules.get(path) }));
	},
};

const commonOptions = {
	bundle: true,
	// Non-Latin-1 characters in comments would make V8 store the whole source with two bytes per character.
	minifyWhitespace: true,
	charset: 'ascii',
	lineLimit: 120,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// Contains a native library, which is loaded from the folder of its package.
	external: ['@node-rs/xxhash'],
	// ES modules read their location from import.meta.url, which does not exist in a CommonJS bundle.
	define: { 'import.meta.url': 'bundleUrl' },
	banner: { js: "const bundleUrl = require('node:url').pathToFileURL(__filename).href;" },
	logLevel: 'warning',
};

await build({
	...commonOptions,
	entryPoints: ['src/bin/entry.ts'],
	outfile: bundleFile,
	plugins: [replacePackages],
});
const bundledSource = readFileSync(bundleFile, 'utf8').replace(firstLinePattern, '');
writeFileSync(
	bundleFile,
	`(function (exports, require, module, __filename, __dirname) {${bundledSource}\n})`,
	'latin1',
);
await build({
	...commonOptions,
	entryPoints: ['platform/standin/warmUpTraffic.ts'],
	outfile: 'target/warmUp.js',
});

copyFileSync('scripts/entryLoader.cjs', 'target/entry.js');
try {
	execFileSync(process.execPath, [...nodeFlags, 'scripts/cacheEntry.cjs'], { stdio: 'inherit' });
} catch (error) {
	// Without the code cache the entry starts too, but more slowly.
	process.stderr.write(`could not create the code cache of the bundle: ${error.message}\n`);
}
