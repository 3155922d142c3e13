#!/bin/bash
# A slow engine's stream is sound and isn't cut. One that sends a byte now and
# then, but no event, ends at the caller's deadline, and not as complete.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site raw:raw1,lm,z1
usual_routes
configure
settings_entry e1
start_instance e1

echo "== events come slowly"
ctl worker/raw1/slow
draft e1 slow1 5 -H 'Deadline-Ms: 20000' -o "$workdir/slow"
echo "curl $?, $(event_ids "$workdir/slow")"

echo "== a byte comes now and then"
ctl worker/raw1/drip
draft e1 drip1 5 -H 'Deadline-Ms: 3000' -o "$workdir/drip"
[ $? -ne 0 ] && echo "not complete, $(event_ids "$workdir/drip")"
wait_for "the engine's connection to be closed" \
    grep -q '^raw raw1 drip closed' "$site_log"
grep -o '"event":"request-ended","id":"drip1"' "$workdir/e1.log"
grep '"event":"request-ended","id":"drip1"' "$workdir/e1.log" |
    grep -o '"outcome":"[a-z-]*"'
