/**
 * Writes the V8 code cache of the bundled entry next to the bundle. The cache contains only functions that have
 * run, so two entries are started on the loopback interface and serve each kind of request before it is created.
 */

'use strict';

const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join } = require('node:path');

/** Keeps the build from hanging if the warm-up does not finish. */
const warmUpTimeoutMs = 60_000;

const { cacheFile, runBundle, script } = require('../target/entry.js');
const { runWarmUp } = require('../target/warmUp.js');

const settingsFolder = mkdtempSync(join(tmpdir(), 'anvilroad-build-'));
let entryCount = 0;

/** Starts another entry in this process. */
function startEntry(settings) {
	entryCount++;
	const file = join(settingsFolder, `entry-${entryCount}.ini`);
	writeFileSync(file, settings);
	process.argv.splice(2, Infinity, '--settings', file);
	runBundle();
}

/** Removes the temporary settings and exits, which also stops the entries. */
function cleanUpAndExit(code) {
	rmSync(settingsFolder, { recursive: true, force: true });
	process.exit(code);
}

setTimeout(() => {
	process.stderr.write(`the warm-up did not finish within ${warmUpTimeoutMs} ms\n`);
	cleanUpAndExit(1);
}, warmUpTimeoutMs);

runWarmUp(startEntry).then(
	() => {
		writeFileSync(cacheFile, script.createCachedData());
		cleanUpAndExit(0);
	},
	error => {
		process.stderr.write(`${error.stack}\n`);
		cleanUpAndExit(1);
	},
);
