/**
 * Puts the entry and all that it imports into one file, and the compiled code beside it. An instance that is
 * started anew under load must be back soon: reading some four hundred files at the start took 0.9 s of
 * processor time, one file takes 0.45 s. `target/entry.js` starts it from the compiled code.
 */

import { execFileSync } from 'node:child_process';
import { copyFileSync, rmSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** As the deploy file starts it: Node takes compiled code only under the flags that it was made with. */
const nodeFlags = ['--max-old-space-size=200'];

rmSync('target/entryBundle.js.cache', { force: true });

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
	lineLimit: 120,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// Holds a native library, which is loaded from beside its package.
	external: ['@node-rs/xxhash'],
	// Packages written as modules ask where they stand, which a bundle in the older format does not know.
	define: { 'import.meta.url': 'bundleUrl' },
	banner: { js: "const bundleUrl = require('node:url').pathToFileURL(__filename).href;" },
	logLevel: 'warning',
};

await build({
	...commonOptions,
	entryPoints: ['src/bin/entry.ts'],
	outfile: 'target/entryBundle.js',
	plugins: [replacePackages],
});
await build({
	...commonOptions,
	entryPoints: ['platform/standin/warmUpTraffic.ts'],
	outfile: 'target/warmUp.js',
});

copyFileSync('scripts/entryLoader.cjs', 'target/entry.js');
try {
	execFileSync(process.execPath, [...nodeFlags, 'scripts/cacheEntry.cjs'], { stdio: 'inherit' });
} catch (error) {
	// The entry starts without compiled code as well, only later.
	process.stderr.write(`no compiled code beside the bundle: ${error.message}\n`);
}
