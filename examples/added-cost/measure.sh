#!/usr/bin/env bash
# Measures what an entry adds to a call: one entry, one plain service and the bare pass-through are started,
# compared in one run and stopped again. Arguments are passed on to `anvilroad-load compare`.
set -euo pipefail
cd "$(dirname "$0")/../.."
programs=dist/src/bin
folder=$(mktemp -d)
started=()
stop() {
	for pid in "${started[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
		wait "$pid" || true
	done
	rm -r "$folder"
}
trap stop EXIT

# Starts a program whose first line is JSON, and waits for that line.
start() {
	local output=$1
	shift
	node "$@" >"$output" &
	started+=($!)
	for _ in $(seq 300); do
		[ -s "$output" ] && return
		sleep 0.1
	done
	echo "$* did not become ready" >&2
	exit 1
}

# Reads one value of a JSON line: read_json FILE EXPRESSION
read_json() {
	node -p "JSON.parse(require('fs').readFileSync('$1', 'utf8').split('\n')[0]).$2"
}

start "$folder/deployment" "$programs/demo.js" --hold --example added-cost
target=$(read_json "$folder/deployment" 'targets[0].url')
start "$folder/pass-through" "$programs/load.js" pass-through --to "$target"
node "$programs/load.js" compare \
	--direct-url "$target" \
	--baseline-url "$(read_json "$folder/pass-through" url)" \
	--baseline-pid "$(read_json "$folder/pass-through" pid)" \
	--entry-url "$(read_json "$folder/deployment" 'entries[0].callers')" \
	--entry-pid "$(read_json "$folder/deployment" 'entries[0].pid')" \
	--service echo --organisation bench --path /echo --method POST --echo "$@"
