#!/bin/bash
# The engine that holds the copy of a generation accepts no connection for a
# moment: the stream goes on there all the same.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
settings_entry e1
configure
start_instance e1

draft e1 g1 150 >"$workdir/g1" &
drafting=$!
wait_for "events" grep -q '^id: 5$' "$workdir/g1"
engine=$(sed -n 's/^run g1 \([a-z0-9]*\) begun$/\1/p' "$site_log")
other=$([ "$engine" = lm1 ] && echo lm2 || echo lm1)
ctl "worker/$engine/draining"
wait_for "a copy" logged e1 'handover-copy.*"id":"g1".*"status":200'
ctl "worker/$other/gone"
ctl "worker/$engine/gone"
wait_for "the first try" logged e1 'handover-resumed.*"id":"g1"'
ctl "worker/$other/back"
wait "$drafting" && ended=whole || ended=cut
echo "$ended, $(event_ids "$workdir/g1"), begun $(runs g1) time"
