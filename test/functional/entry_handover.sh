#!/bin/bash
# Generations whose engine leaves or vanishes: every event once and in order,
# a cut stream never looks complete.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
settings_entry e1
configure
start_instance e1

# engine_of ID: the engine that a generation began at.
engine_of()
{
	sed -n "s/^run $1 \([a-z0-9]*\) begun$/\1/p" "$site_log"
}

# has_begun FILE: whether events have come.
has_begun()
{
	grep -q '^id: 5$' "$1"
}

# start_draft ID EVENTS: in the background; its output in $workdir/ID.
start_draft()
{
	draft e1 "$1" "$2" >"$workdir/$1" &
	drafts[$1]=$!
	wait_for "events of $1" has_begun "$workdir/$1"
}

# finish_draft ID
finish_draft()
{
	wait "${drafts[$1]}" && ended=whole || ended="cut ($?)"
	echo "$1: $ended, $(event_ids "$workdir/$1"), begun $(runs "$1") time"
}
declare -A drafts

echo "== an engine leaves with a notice"
start_draft g1 150
engine=$(engine_of g1)
ctl "worker/$engine/draining"
wait_for "a copy" logged e1 'handover-copy.*"id":"g1".*"status":200'
ctl "worker/$engine/leave"
finish_draft g1
logged e1 'handover-continued.*"id":"g1"' && echo "it went on from the copy"
ctl "worker/$engine/back"
wait_for "$engine again" logged e1 "upstream-added.*$engine"

echo "== an engine vanishes without a word: the stream must not look complete"
start_draft g2 150
engine=$(engine_of g2)
ctl "worker/$engine/gone"
wait "${drafts[g2]}" && echo "WRONG: whole" || echo "cut"
grep -q '^id: 150$' "$workdir/g2" && echo "WRONG: last event"
ctl "worker/$engine/back"

echo "== a stream that may be resumed goes on elsewhere"
call e1 /hint/x h1 -X POST -H 'Token-Usage: 100,400' >"$workdir/h1" &
drafts[h1]=$!
wait_for "events of h1" has_begun "$workdir/h1"
engine=$(engine_of h1)
ctl "worker/$engine/gone"
wait "${drafts[h1]}" && echo "whole, $(event_ids "$workdir/h1")"
ctl "worker/$engine/back"

echo "== an engine answers the run that should go on with an error"
start_draft g4 150
engine=$(engine_of g4)
other=$([ "$engine" = lm1 ] && echo lm2 || echo lm1)
ctl "worker/$other/wrongresume"
ctl "worker/$engine/draining"
wait_for "a copy" logged e1 'handover-copy.*"id":"g4".*"status":200'
ctl "worker/$engine/gone"
wait "${drafts[g4]}" && echo "WRONG: whole" || echo "cut"
grep -c error "$workdir/g4"
ctl "worker/$other/well"
ctl "worker/$engine/back"

echo "== the store is silent: the engine's own report tells of its leaving"
start_draft g3 220
engine=$(engine_of g3)
ctl store/silent
ctl "worker/$engine/draining"
wait_for "a copy" logged e1 'handover-copy.*"id":"g3".*"status":200'
ctl "worker/$engine/gone"
finish_draft g3
ctl store/up

echo "== a copy that is never answered, twice: nothing comes back to haunt"
ctl worker/lm1/back
ctl worker/lm2/back
ctl worker/lm1/ready
ctl worker/lm2/ready
ctl worker/lm1/mutecopy
ctl worker/lm2/mutecopy
sleep 1
call e1 /hint/x h2 -X POST -H 'Token-Usage: 100,800' >"$workdir/h2" &
drafts[h2]=$!
wait_for "events of h2" has_begun "$workdir/h2"
engine=$(engine_of h2 | tail -1)
ctl "worker/$engine/draining"
wait_for "the notice" logged e1 'handover-noticed.*"id":"h2"'
sleep 0.5
ctl "worker/$engine/cutruns"
wait_for "another attempt" logged e1 'request-placed.*"id":"h2".*"attempt":2'
other=$([ "$engine" = lm1 ] && echo lm2 || echo lm1)
ctl "worker/$engine/ready"
ctl "worker/$other/draining"
wait "${drafts[h2]}" && echo "whole, $(event_ids "$workdir/h2")"
sleep 6
grep -c 'handover-copy.*"status":0' "$workdir/e1.log"
kill -0 "${entry_pid[e1]}" && echo "it lives"
