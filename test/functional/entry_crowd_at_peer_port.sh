#!/bin/bash
# Strangers send datagrams to the address for other instances, faster than they
# are read: the instance lives, within its bounds, is ready, and answers an
# ordinary request meanwhile.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"

MACHINE_KB=90112 # a small machine has 88 MB
MEMORY_KB=81920  # of which the kernel needs some
DESCRIPTORS=600
CROWDS=4

start_site shop1,shop,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
configure

# run_datagrams NAME TEXT BYTES
run_datagrams()
{
	local i crowds=()
	echo "== $2"
	begin_case "$1"
	for ((i = 0; i < CROWDS; i++)); do
		run_program "$BINDIR/crowd" "$entry_ip:$peer_port" datagrams 16 "$3"
		crowds+=("$pid")
	done
	wait_for "the senders" grep -q ready "$workdir/$program.log"
	is_ready "$1" && echo "  ready" || echo "  not ready"
	check_case "$1"
	for crowd_pid in "${crowds[@]}"; do
		end_crowd
	done
	end_case "$1" >/dev/null
}

run_datagrams small "small datagrams" 64
run_datagrams large "large datagrams" 60000
