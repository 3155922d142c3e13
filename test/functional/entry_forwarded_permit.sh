#!/bin/bash
# A retry at another instance took a permit at both: an instance without any
# refused requests that the sender had taken one for.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:lm1,lm,z1 linked:lm2,lm,z1 linked:shop1,shop,z1 \
    linked:shop2,shop,z1
usual_routes
configure
retry_slack=0 # e1 has permits for a share of its own requests only: of none
settings_entry e1
retry_slack=1000
settings_entry e2 "${entry_control[e1]}"
start_instance e1
start_instance e2
wait_for "e1 to know e2" logged e1 '"peer-joined","peer":"e2"'
wait_for "e2 to know e1" logged e2 '"peer-joined","peer":"e1"'

clients=()
for n in 1 2 3 4 5 6; do
	call e2 /hint/x "hint$n" -X POST -H 'Token-Usage: 100,400' \
	    >"$workdir/hint$n" &
	clients+=($!)
	pids+=($!)
done
for n in 1 2 3 4 5 6; do
	wait_for "events of hint$n" grep -q '^id: 5$' "$workdir/hint$n"
done
cut e2 silent
for n in 1 2 3 4 5 6; do
	call e2 /check/x "check$n" >"$workdir/check$n" &
	clients+=($!)
	pids+=($!)
done
for client in "${clients[@]}"; do
	wait "$client"
done
for n in 1 2 3 4 5 6; do
	echo "hint$n: $(event_ids "$workdir/hint$n"), $(runs "hint$n") runs;" \
	    "check$n: $(tail -1 "$workdir/check$n")"
done
echo "refused for want of a permit: $(grep -c '"no-retry-permit"' \
    "$workdir/e1.log")"
