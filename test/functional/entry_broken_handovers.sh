#!/bin/bash
# Answers whose engine leaves, so that they go on from a copy: what the caller
# gets of the next run is only ever the rest of the same answer.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site raw:raw1,lm,z1 raw:raw2,lm,z1
usual_routes
configure
retry_slack=1000 # so that retries don't depend on earlier requests
settings_entry e1
start_instance e1

# hand_over SHOW MODE: raw1 leaves while it answers a draft; raw2 has the copy.
hand_over()
{
	local id=draft-$2
	both "$2"
	ctl worker/raw2/draining
	wait_for_change e1 upstream-draining raw2
	start_get "$workdir/$id" "${entry_caller[e1]}/draft/x" -X POST \
	    -d "$id" -H 'Host: a.example' -H 'Authorization: Token k1' \
	    -H "Attempt-Id: $id" -H 'Token-Usage: 100,20' \
	    -H 'Deadline-Ms: 20000'
	wait_for "$id to run" has_run "$id"
	ctl worker/raw2/back
	wait_for_change e1 upstream-reborn raw2
	ctl worker/raw1/draining
	wait "$call"
	"$1" "$id" "$?"
	ctl worker/raw1/back
	wait_for_change e1 upstream-reborn raw1
}
has_run()
{
	[ "$(runs "$1")" = 1 ]
}

echo "== an engine leaves, and another one has the copy"
for later in rest error text nothing empty finished anew gap bare; do
	hand_over show_stream "held-then-$later"
done
hand_over show_stream held-bare-then-rest
hand_over show_body held-large-then-text
# Nothing of the first run was passed on: the second run is the whole answer.
hand_over show_body held-small-then-text
