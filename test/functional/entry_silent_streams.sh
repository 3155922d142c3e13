#!/bin/bash
# All engines fall silent for two seconds and go on: the streams that run there
# are neither cut nor begun again, be a retry permitted (e2) or not (e1).
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
configure
retry_slack=0
settings_entry e1
retry_slack=1000
settings_entry e2 "${entry_control[e1]}"
for instance in e1 e2; do
	start_instance "$instance"
done
wait_for "the instances to know each other" logged e1 '"peer-joined"'

# start_hint NAME ID: a stream in the background that may be resumed.
start_hint()
{
	call "$1" /hint/x "$2" -X POST -H 'Token-Usage: 100,400' \
	    >"$workdir/$2" &
	hints[$2]=$!
}
declare -A hints

for n in 1 2 3 4 5 6; do
	start_hint e1 "a$n"
	start_hint e2 "b$n"
done
for id in "${!hints[@]}"; do
	wait_for "events of $id" grep -q '^id: 5$' "$workdir/$id"
done
for round in 1 2; do
	ctl worker/lm1/hold
	ctl worker/lm2/hold
	sleep 1
done
for id in a1 a2 a3 a4 a5 a6 b1 b2 b3 b4 b5 b6; do
	wait "${hints[$id]}" && ended=whole || ended=cut
	echo "$id: $ended, $(event_ids "$workdir/$id"), begun $(runs "$id") time"
done
