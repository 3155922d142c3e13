#!/bin/bash
# An instance that leaves ended with requests open that others had forwarded to
# it, long before its time was up.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:lm1,lm,z1 linked:lm2,lm,z1
usual_routes
configure
retry_slack=1000 # so that retries don't depend on earlier requests
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
sed -i 's/"grace_ms": 4000/"grace_ms": 25000/' "$workdir/e2.json"
start_instance e1
start_instance e2
wait_for "e1 to know e2" logged e1 '"peer-joined","peer":"e2"'
wait_for "e2 to know e1" logged e2 '"peer-joined","peer":"e1"'
cut e1 silent
call e1 /hint/x poke -m 3 -X POST -H 'Token-Usage: 100,8' >/dev/null &
pids+=($!)
wait_for "e1 to notice" logged e1 '"service-cut-off","service":"lm"'

draft e1 long 300 >"$workdir/long" &
long=$!
pids+=("$long")
wait_for "its first events" grep -q '^id: 3$' "$workdir/long"
kill -TERM "${entry_pid[e2]}"
wait "$long" && echo "forwarded draft: whole" || echo "forwarded draft: cut"
event_ids "$workdir/long"
echo "run $(runs long) times"
wait "${entry_pid[e2]}"
echo "helper ended: $?"
grep -o '"open":0,"requests":[0-9]*,"undelivered":[0-9]*' "$workdir/e2.log"
