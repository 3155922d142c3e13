#!/bin/bash
# Callers that read their responses slowly, without a stop: others get answers
# all the same. If only callers that take no byte for a second are dropped,
# these hold the memory for all callers, or all connections, as long as they
# like.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"

MACHINE_KB=90112
MEMORY_KB=40960 # 20 MB without callers, and the bytes held for them twice
DESCRIPTORS=600

start_site shop1,shop,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
route order /order/ non_idempotent shop ',"timeout_ms":9000,"max_attempts":1'
configure

# run_sipping_case NAME TEXT LIMITS COUNT
run_sipping_case()
{
	echo "== $2"
	begin_case "$1" "$3"
	ctl worker/shop1/page
	crowd "${entry_caller[$1]}" sipping "$4" 0
	ctl worker/shop1/well
	end_case "$1"
}

run_sipping_case memory "all memory for callers is held by slow ones" \
    '"caller_memory_mb": 4' 100
echo "== all connections are held by slow ones"
begin_case connections '"max_callers": 40'
crowd "${entry_caller[connections]}" sipping-pipeline 60 4000000
end_case connections

echo "== all connections for readiness are held by slow ones"
begin_case ready
crowd "${entry_ready[ready]}" sipping-pipeline 60 4000000 /
is_ready ready && echo "  ready" || echo "  not ready"
end_case ready

echo "== the kernel's memory for connections is used up by callers"
begin_case sockets '"socket_memory_mb": 1'
crowd "${entry_caller[sockets]}" sipping-pipeline 200 4000000
is_ready sockets && echo "  ready" || echo "  not ready"
end_case sockets
