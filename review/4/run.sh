#!/bin/sh
# Plays the case once. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.."
exec node target/review/review/4/case.js
