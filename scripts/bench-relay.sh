#!/bin/bash
# Measures the cost of forwarding: applies the same load to an engine directly
# and through one instance, and prints the instance's processor time. Not a
# test.
BINDIR=${BUILD:-build}
FIRST_PORT=${FIRST_PORT:-24500}
cd "$(dirname "$0")/.." || exit 1
. test/functional/lib.sh || exit 1
. scripts/fleet.sh || exit 1

# measure NAME STREAMS TOKENS: applies the load and prints the result.
measure()
{
	local before after line
	line=$("$BINDIR/bench/load" -a "${caller_of[g1]}" -s "$2" -t "$3" \
	    -d "${SECONDS_EACH:-5}")
	echo "$1 direct:  $line"
	before=$(cpu_ms "${pid_of[e1]}")
	line=$("$BINDIR/bench/load" -a "${caller_of[e1]}" -s "$2" -t "$3" \
	    -d "${SECONDS_EACH:-5}")
	after=$(cpu_ms "${pid_of[e1]}")
	echo "$1 relayed: $line  instance cpu ms $((after - before))"
}

MEMORY_TOKENS=100000000 MAX_RUNNING=4096 WARM_SPAN_MS=1 PROGRESS_MS=5000
make_keys
start_platform
for engine in g1 g2 g3 g4 g5 g6; do
	start_engine $engine bilbao --step-ms "${STEP_MS:-5}" \
	    --max-running 4096 --memory-tokens 100000000
done
publish_bundle
add_instance e1 bilbao
list_members e1
start_instance e1
wait_bundle 1 e1
wait_voting e1
before=$(cpu_ms "${pid_of[e1]}")
sleep 5
echo "idle: instance cpu ms in 5 s $(($(cpu_ms "${pid_of[e1]}") - before))"
measure "1 stream" 1 200
measure "32 streams" 32 500
measure "192 streams" 192 500
grep VmHWM "/proc/${pid_of[e1]}/status"
