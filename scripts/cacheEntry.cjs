/**
 * Compiles the bundled entry and keeps the code beside it. The entry is started for a moment on loopback, so
 * that the functions of a start are compiled too; only what has run is in the cache.
 */

'use strict';

const { mkdtempSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join } = require('node:path');

/** Long enough for the start itself, in milliseconds. */
const startMs = 700;

const anyPort = '127.0.0.1:0';
const nobody = 'http://127.0.0.1:9';
const settings = `
[instance]
id = build
region = build
zone = build
[callers]
listen = ${anyPort}
url = ${nobody}
[peers]
listen = ${anyPort}
url = ${nobody}
plain = yes
[operators]
listen = ${anyPort}
plain = yes
[platform]
url = ${nobody}
protocol = store
[directory]
listen = ${anyPort}
[readiness]
listen = ${anyPort}
[zones]
build = build
[log]
level = silent
`;

const file = join(mkdtempSync(join(tmpdir(), 'anvilroad-build-')), 'entry.ini');
writeFileSync(file, settings);
process.argv.splice(2, Infinity, '--settings', file);

const { cacheFile, runBundle, script } = require('../target/entry.js');

process.on('exit', () => {
	writeFileSync(cacheFile, script.createCachedData());
});
runBundle();
setTimeout(() => process.exit(0), startMs);
