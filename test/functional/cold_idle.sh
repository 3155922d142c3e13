#!/bin/bash
# An idle engine that turns cold without warning, and a burst right after:
# before any instance can have asked for a report, none gives it more than it
# bears.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"

COLD_LIMIT=2
WARM_SPAN_MS=15000 # a third request is allowed after 1071 ms
MEMORY_TOKENS=400000
ENGINE_OPTIONS="--cold-ms 1000 --cold-limit 2"
start_fleet

for round in 1 2 3; do
	wait_for "a warm engine" field_above "${caller_of[g1]}/load" \
	    uptime_ms 3000
	control "${caller_of[g1]}" '{"restart":true}'
	calls=()
	for i in {1..30}; do
		generate "e$((i % 3 + 1))" "burst $i length:20" false \
		    >/dev/null &
		calls+=($!)
	done
	wait "${calls[@]}"
done
echo "overloads: $(field "${caller_of[g1]}/stats" overloads)"
