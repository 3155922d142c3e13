#!/bin/bash
# An instance stood still for longer than the others wait for its heartbeats:
# all that they had forwarded to it was reset, also what could not go on
# elsewhere.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:lm1,lm,z1 linked:lm2,lm,z1 linked:shop1,shop,z1
usual_routes
configure
retry_slack=1000 # so that retries don't depend on earlier requests
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
start_instance e1
start_instance e2
wait_for "e1 to know e2" logged e1 '"peer-joined","peer":"e2"'
wait_for "e2 to know e1" logged e2 '"peer-joined","peer":"e1"'
cut e1 silent
call e1 /hint/x poke -m 3 -X POST -H 'Token-Usage: 100,8' >/dev/null &
pids+=($!)
wait_for "e1 to notice" logged e1 '"service-cut-off","service":"lm"'

# start_hint ID: a generation of 100 events that may be resumed.
start_hint()
{
	call e1 /hint/x "$1" -X POST -H 'Token-Usage: 100,400' \
	    >"$workdir/$1" &
	client=$!
	pids+=("$client")
	wait_for "events of $1" grep -q '^id: 5$' "$workdir/$1"
}

# start_draft ID: a generation of 200 events that must not be resumed.
start_draft()
{
	draft e1 "$1" 200 >"$workdir/$1" &
	client=$!
	pids+=("$client")
	wait_for "events of $1" grep -q '^id: 5$' "$workdir/$1"
}

# show NAME CLIENT: what a caller got.
show()
{
	local ended=cut
	wait "$2" && ended=whole
	echo "$1: $ended, $(event_ids "$workdir/$1"), $(runs "$1") runs," \
	    "forwarded $(grep -c "\"request-forwarded\",\"id\":\"$1\"" \
	    "$workdir/e1.log") times"
}


echo "== the only other instance stands still, and goes on"
start_draft draft1
draft=$client
start_hint hint1
kill -STOP "${entry_pid[e2]}"
wait_for "e1 to miss e2" logged e1 '"peer-lost","peer":"e2"'
kill -CONT "${entry_pid[e2]}"
show draft1 "$draft"
show hint1 "$client"

echo "== this instance stands still, and goes on"
start_draft draft2
kill -STOP "${entry_pid[e1]}"
wait_for "e2 to miss e1" logged e2 '"peer-lost","peer":"e1"'
kill -CONT "${entry_pid[e1]}"
show draft2 "$client"

echo "== what can go on at a third one does, without the first"
start_instance e3
wait_for "e1 to know e3" logged e1 '"peer-joined","peer":"e3"'
wait_for "e3 to know e1" logged e3 '"peer-joined","peer":"e1"'
start_hint hint2
helper=$(grep '"request-forwarded","id":"hint2"' "$workdir/e1.log" |
    sed 's/.*"to":"\(e[23]\)".*/\1/')
kill -STOP "${entry_pid[$helper]}"
show hint2 "$client"
kill -CONT "${entry_pid[$helper]}"
