#!/bin/sh
# Compiles the cases and their stand-ins into target/review. Needs the packages of the lock file, and no network.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -p review/tsconfig.json --noEmit false --outDir target/review
