#!/bin/bash
# A begun stream loses its engine while the other one is full, and a third one
# comes only later: the stream waits for it.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1 lm3,lm,z1
usual_routes
retry_slack=1000
settings_entry e1
configure
ctl worker/lm3/leave
start_instance e1

call e1 /hint/x h1 -X POST -H 'Token-Usage: 6000,400' >"$workdir/h1" &
streaming=$!
wait_for "events of h1" grep -q '^id: 5$' "$workdir/h1"
engine=$(sed -n 's/^run h1 \([a-z0-9]*\) begun$/\1/p' "$site_log")
other=$([ "$engine" = lm1 ] && echo lm2 || echo lm1)
call e1 /draft/x large -X POST -H 'Token-Usage: 30000,1600' >"$workdir/large" &
pids+=($!)
wait_for "events of the large one" grep -q '^id: 5$' "$workdir/large"
ctl "worker/$engine/gone"
wait_for "it to wait" logged e1 'request-waits","id":"h1"'
ctl "worker/$other/draining"
sleep 1
ctl worker/lm3/back
wait "$streaming" && ended=whole || ended=cut
echo "$ended, $(event_ids "$workdir/h1")"
