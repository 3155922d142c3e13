#!/bin/bash
# An engine ends before it has said it would. The one that has the copy of its
# stream takes the request that resumes it and stays mute: the instance waits
# without using a processor.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

LEAVING_S=1 # the time that the engine had named
WATCHED_S=2

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
settings_entry e1
configure
start_instance e1

# cpu_ticks: prints the processor time that the instance has used.
cpu_ticks()
{
	awk '{ print $14 + $15 }' "/proc/${entry_pid[e1]}/stat"
}

draft e1 d1 1000 >"$workdir/d1" &
pids+=($!)
wait_for "events" grep -q '^id: 5$' "$workdir/d1"
source=$(sed -n 's/^run d1 \([a-z0-9]*\) begun$/\1/p' "$site_log")
target=$([ "$source" = lm1 ] && echo lm2 || echo lm1)
ctl "worker/$source/draining"
wait_for "a copy" logged e1 'handover-copy.*"state":4,"status":200'
ctl "worker/$target/mute"
ctl "worker/$source/gone"
wait_for "the resumption" logged e1 handover-resumed
sleep "$LEAVING_S"
before=$(cpu_ticks)
sleep "$WATCHED_S"
used=$(($(cpu_ticks) - before))
echo "ticks used: $used" >&2
# It spins if it uses more than half of a processor's time.
[ "$used" -lt $((WATCHED_S * $(getconf CLK_TCK) / 2)) ] &&
    echo "waits" || echo "spins"
