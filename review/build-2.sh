#!/bin/sh
# Builds the cases of the second review and their stand-ins into target/review-2.
set -e
cd "$(dirname "$0")/.."
cases=$(find review/6 review/7 review/8 review/9 review/10 -name case.ts 2>/dev/null || true)
# shellcheck disable=SC2086
node_modules/.bin/esbuild review/kit2/storeProcess.ts review/kit2/serverProcess.ts review/kit2/relayProcess.ts $cases \
	--bundle --platform=node --target=node20 --format=cjs --outbase=review --outdir=target/review-2 --log-level=warning
