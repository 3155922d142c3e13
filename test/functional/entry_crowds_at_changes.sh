#!/bin/bash
# Groups of misbehaving callers while the limits change, beside SIGHUP and
# SIGTERM: the instance lives, within its bounds, answers an ordinary request,
# and ends when it should.
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

echo "== bodies while the limits change"
begin_case limits
crowd "${entry_caller[limits]}" chunks 60 4194304
for max_body_bytes in 65536 16777216 4194304; do
	configure
	wait_for "version $site_version" grep -q \
	    "\"version\":$site_version" "$workdir/limits.log"
done
end_case limits

echo "== bodies beside SIGHUP"
begin_case hangup
run_program "$BINDIR/crowd" "${entry_caller[hangup]}" chunks 60 4194304
crowd_pid=$pid
for ((i = 0; i < 20; i++)); do
	kill -HUP "${entry_pid[hangup]}"
	sleep 0.1
done
end_case hangup

echo "== callers of many kinds beside SIGTERM"
begin_case leaving
crowd "${entry_caller[leaving]}" chunks 60 4194304
other_crowd=$crowd_pid
ctl worker/shop1/page
crowd "${entry_caller[leaving]}" sipping 100 0
ctl worker/shop1/well
check_case leaving
kill -TERM "${entry_pid[leaving]}"
wait "${entry_pid[leaving]}"
echo "  ended with status $?"
end_crowd
stop_program "$other_crowd" 2>/dev/null
exit 0
