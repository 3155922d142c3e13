#!/bin/bash
# Groups of misbehaving callers at an instance that is cut off from all workers,
# whose requests another instance serves: both live, within their bounds, and an
# ordinary request is answered.
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
retry_slack=1000
start_site linked:shop1,shop,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
route order /order/ non_idempotent shop ',"timeout_ms":9000,"max_attempts":1'
configure
begin_case helper
settings_entry cut "${entry_control[helper]}"
ulimit -S -n "$DESCRIPTORS"
start_instance cut
ulimit -S -n "$descriptors_of_shell"
measure cut
knows()
{
	logged "$1" "\"peer-joined\",\"peer\":\"$2\""
}
wait_for "cut to know helper" knows cut helper
wait_for "helper to know cut" knows helper cut
cut cut refuse
call cut /check/x poke -m 3 >/dev/null &
pids+=($!)
wait_for "cut to notice" logged cut '"service-cut-off","service":"shop"'

# both_within TEXT: checks both instances while callers hold their connections.
both_within()
{
	echo "== $1: the instance that is cut off"
	check_case cut
	echo "== $1: the one that helps"
	check_case helper
	end_crowd
}

crowd "${entry_caller[cut]}" whole 40 4000000
both_within "whole bodies"
crowd "${entry_caller[cut]}" chunks 60 4194304
both_within "bodies short of their end"
ctl worker/shop1/page
crowd "${entry_caller[cut]}" sipping 100 0
ctl worker/shop1/well
both_within "responses that are read slowly"
wait_for "the bytes of callers that have gone" holds_nothing cut
wait_for "the bytes of callers that have gone" holds_nothing helper
exit 0
