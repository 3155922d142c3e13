#!/bin/bash
# The engine that holds the copy of a generation doesn't take the request at
# once: the stream goes on there all the same, as long as that engine is to get
# requests; a stream that may be begun again doesn't wait for it.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z2 lm3,lm,z3
usual_routes
retry_slack=1000
settings_entry e1
configure
start_instance e1

# begin PATH ID: a stream of 150 events in the background.
begin()
{
	call e1 "$1" "$2" -X POST -H 'Token-Usage: 100,600' >"$workdir/$2" &
	streaming=$!
	wait_for "events of $2" grep -q '^id: 5$' "$workdir/$2"
	engine=$(sed -n "s/^run $2 \([a-z0-9]*\) begun$/\1/p" "$site_log")
}

# copy ID: has its engine leave and waits for the copy; sets $target.
copy()
{
	ctl "worker/$engine/draining"
	wait_for "a copy" logged e1 "handover-copy.*\"id\":\"$1\".*\"status\":200"
	target=$(grep "handover-copy.*\"id\":\"$1\"" "$workdir/e1.log" |
	    sed 's/.*"target":"\([a-z0-9]*\)".*/\1/' | tail -1)
}

# outcome ID
outcome()
{
	wait "$streaming" && ended=whole || ended=cut
	echo "$ended, $(event_ids "$workdir/$1"), begun $(runs "$1") time"
}

# heal: all engines again.
heal()
{
	local worker
	for worker in lm1 lm2 lm3; do
		ctl "worker/$worker/gone"
		ctl "worker/$worker/back"
	done
	ctl del/op/evacuate/z1
	ctl del/op/evacuate/z2
	ctl del/op/evacuate/z3
	sleep 1
}

echo "== it accepts no connection for a moment"
begin /draft/x a
copy a
ctl "worker/$target/gone"
ctl "worker/$engine/gone"
wait_for "the first try" logged e1 'handover-not-taken.*"id":"a"'
ctl "worker/$target/listen"
outcome a
heal

echo "== it turns the request away for a moment"
begin /draft/x b
copy b
ctl "worker/$target/shed"
ctl "worker/$engine/gone"
wait_for "the first try" logged e1 'handover-not-taken.*"id":"b"'
ctl "worker/$target/well"
outcome b
heal

echo "== it is gone for good: a stream that may be begun again is"
begin /hint/x c
copy c
ctl "worker/$target/gone"
ctl "worker/$engine/gone"
outcome c
grep -c 'handover-not-taken.*"id":"c"' "$workdir/e1.log"
heal

echo "== its availability zone is evacuated: nothing is sent there any more"
begin /draft/x d
copy d
ctl "worker/$target/gone"
ctl "worker/$engine/gone"
wait_for "the first try" logged e1 'handover-not-taken.*"id":"d"'
ctl "put/op/evacuate/z${target#lm}" '{}'
wait_for "the evacuation" logged e1 '"zone-evacuated"'
ctl "worker/$target/listen"
wait "$streaming" && echo "WRONG: whole" || echo "cut"
grep -o '"reason":"resume-target-gone"' "$workdir/e1.log"
