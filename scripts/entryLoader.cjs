/**
 * Starts the bundled entry from code that was compiled in the build. Without it each start parses and compiles
 * 3.5 MB anew: reading the settings took 0.33 s of processor time before and takes 0.19 s (mean of ten starts),
 * which callers wait for after all instances were lost at once. A cache that another Node made, or none, only
 * makes the start slower: Node checks it and compiles what it does not accept.
 */

'use strict';

const { readFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const { dirname, join } = require('node:path');
const { Script } = require('node:vm');

const bundleFile = join(__dirname, 'entryBundle.js');
/** The line by which a shell finds Node; no part of a function's body. */
const firstLinePattern = /^#!.*/;
const cacheFile = `${bundleFile}.cache`;

/** Gives the compiled code of the cache, or undefined where the build made none. */
function readCache() {
	try {
		return readFileSync(cacheFile);
	} catch (error) {
		if (error.code !== 'ENOENT') {
			process.stderr.write(`${cacheFile}: ${error.message}\n`);
		}
		return undefined;
	}
}

const source = readFileSync(bundleFile, 'utf8').replace(firstLinePattern, '');
const wrapped = `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
const script = new Script(wrapped, { filename: bundleFile, cachedData: readCache() });

/** Runs the entry in this process. */
function runBundle() {
	const bundle = { exports: {} };
	script.runInThisContext()(
		bundle.exports,
		createRequire(bundleFile),
		bundle,
		bundleFile,
		dirname(bundleFile),
	);
}

module.exports = { cacheFile, runBundle, script };

if (require.main === module) {
	runBundle();
}
