#!/bin/bash
# The answer to another request's copy call comes once more on a kept
# connection: a stream must not go on from that copy.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site raw:raw1,lm,z1 lm2,lm,z1
usual_routes
configure
settings_entry e1
ctl worker/lm2/leave
start_instance e1

# has_events FILE: whether the events that raw1 writes have come.
has_events()
{
	grep -q '^id: 3$' "$1"
}

ctl worker/raw1/held
draft e1 moved 5 >"$workdir/moved" &
draft=$!
wait_for "events" has_events "$workdir/moved"
ctl worker/lm2/back
ctl worker/raw1/repeat-copy
ctl worker/raw1/draining
wait "$draft" && ended=complete || ended=cut
echo "$ended, $(event_ids "$workdir/moved"), $(tail -1 "$workdir/moved")"
grep -o '"handle":"h-[a-z]*"' "$workdir/e1.log" | sort -u
