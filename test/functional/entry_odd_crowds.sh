#!/bin/bash
# Groups of misbehaving callers whose inputs have no body, or that reset their
# connections: the instance lives, within its bounds, is ready, and answers an
# ordinary request.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"

MACHINE_KB=90112 # a small machine has 88 MB
MEMORY_KB=81920  # of which the kernel needs some
DESCRIPTORS=600

max_body_bytes=4194304
start_site shop1,shop,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
route order /order/ non_idempotent shop ',"timeout_ms":9000,"max_attempts":1'
configure

# run_at ADDRESS NAME TEXT SHAPE COUNT BYTES TARGET
run_at()
{
	echo "== $3"
	begin_case "$2"
	crowd "${entry_ip}:$1" "${@:4}"
	wait_for "$2 to be ready" is_ready "$2"
	end_case "$2"
}

# The ports are the same at all instances.
settings_entry ports
run_at "$caller_port" lines "empty lines without an end" lines 200 400000
run_at "$caller_port" extensions "chunk extensions" extensions 100 4194304
run_at "$caller_port" trailers "trailers" trailers 100 4194304
run_at "$caller_port" resets "callers that reset their connections" \
    resetting 60 4194304
