#!/bin/bash
# The links of an instance are cut for half a second, again and again, while the
# same sound request is in flight: it isn't taken for one that crashes workers.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:shop1,shop,z1 linked:shop2,shop,z1 linked:lm1,lm,z1
usual_routes
configure
settings_entry e1
start_instance e1

# check_is ID BODY STATUS
check_is()
{
	[ "$(call e1 /check/x "$1" -d "$2" | tail -1)" = "$3" ]
}

# serves: whether another request is served.
serves()
{
	check_is "w$((++n_calls))" "other $n_calls" 200
}
n_calls=0

for round in 1 2 3 4; do
	wait_for "service in round $round" serves
	ctl worker/shop1/hold
	ctl worker/shop2/hold
	call e1 /check/x "s$round" -d same >"$workdir/s$round" &
	asked=$!
	wait_for "s$round to be sent" logged e1 "id\":\"s$round\""
	sleep 0.1
	cut e1 reset
	sleep 0.5
	cut e1 normal
	wait "$asked"
	sleep 1.5
done
wait_for "service" serves
check_is last same 200 && echo "served" || echo "refused"
echo "quarantines: $(grep -c '"event":"request-quarantined"' "$workdir/e1.log")"
