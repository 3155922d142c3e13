#!/bin/bash
# Groups of callers whose bytes wait in the kernel, at connections that aren't
# read or that they don't read themselves: the instance and its sockets stay
# together within the memory of the machine. Without a bound on the buffers of
# each socket, 200 callers that read slowly take 300 MB.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"

MACHINE_MB=48
MACHINE_KB=$((MACHINE_MB * 1024)) # the process and its sockets
MEMORY_KB=$MACHINE_KB             # the process
DESCRIPTORS=1800

max_body_bytes=1048576
start_site shop1,shop,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
route order /order/ non_idempotent shop ',"timeout_ms":9000,"max_attempts":1'
configure

# run_small_case NAME TEXT SHAPE COUNT BYTES [MODE]: the same on a machine with
# little memory, while the worker answers in that mode.
run_small_case()
{
	echo "== $2"
	begin_case "$1" "\"memory_mb\": $MACHINE_MB"
	ctl "worker/shop1/${6:-well}"
	crowd "${entry_caller[$1]}" "${@:3:3}"
	ctl worker/shop1/well
	end_case "$1"
}

run_small_case pipeline "requests that come faster than they are answered" \
    pipeline 600 400000
run_small_case sipping "responses that are read slowly" sipping 200 0 page
run_small_case unread "responses that are not read" unread 200 0 page
run_small_case returning "bodies of callers that come again when refused" \
    returning-chunks 600 600000
