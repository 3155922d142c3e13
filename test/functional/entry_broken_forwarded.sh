#!/bin/bash
# An instance that is cut off from all engines has its requests served by
# others, whose answers break off: what the caller gets of the next one is only
# ever the rest of the same answer.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:raw:raw1,lm,z1 linked:raw:raw2,lm,z1
usual_routes
route feed /feed/ idempotent lm ',"timeout_ms":6000,"max_attempts":2'
configure
retry_slack=1000 # so that retries don't depend on earlier requests
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
for instance in e1 e2 e3; do
	start_instance "$instance"
done
knows()
{
	logged "$1" "\"peer-joined\",\"peer\":\"$2\""
}
for peer in e2 e3; do
	wait_for "e1 to know $peer" knows e1 "$peer"
	wait_for "$peer to know e1" knows "$peer" e1
done
cut e1 refuse
call e1 /hint/x poke -m 3 -X POST -H 'Token-Usage: 100,8' >/dev/null &
pids+=($!)
wait_for "e1 to notice" logged e1 '"service-cut-off","service":"lm"'

# renew: both engines are started again, without a record of failures.
renew()
{
	local engine
	both back
	for engine in raw1 raw2; do
		wait_for_change e2 upstream-reborn "$engine"
		wait_for_change e3 upstream-reborn "$engine"
	done
}

# answer SHOW ROUTE MODE: a request that e1 forwards.
answer()
{
	local id=$2-$3
	both "$3"
	call e1 "/$2/x" "$id" -X POST -d "$id" -H 'Token-Usage: 100,20' \
	    >"$workdir/$id"
	"$1" "$id" "$?"
	echo "  forwarded $(grep -c "\"request-forwarded\",\"id\":\"$id\"" \
	    "$workdir/e1.log") times"
	renew
}

echo "== a stream that may be resumed"
for later in rest error text empty finished anew gap bare; do
	answer show_stream hint "cut-then-$later"
done

echo "== a stream whose events have no ids"
answer show_stream hint bare-then-rest
answer show_stream hint bare-then-bare

echo "== a stream that can't be resumed"
answer show_stream draft cut-then-rest
answer show_stream draft head-then-error

echo "== a request that may be repeated, but not in part"
answer show_stream feed cut-then-rest
answer show_stream feed cut-then-anew
answer show_body feed large-then-text
# Nothing of the first run was passed on: the second run is the whole answer.
answer show_body feed small-then-text

echo "== the helper is killed, and no other one has an engine for the rest"
both held-then-rest
start_get "$workdir/killed" "${entry_caller[e1]}/hint/x" -X POST -d killed \
    -H 'Host: a.example' -H 'Authorization: Token k1' \
    -H 'Attempt-Id: killed' -H 'Token-Usage: 100,20' -H 'Deadline-Ms: 20000'
wait_for "its events" grep -q '^id: 3' "$workdir/killed"
both draining
for engine in raw1 raw2; do
	wait_for_change e2 upstream-draining "$engine"
	wait_for_change e3 upstream-draining "$engine"
done
helper=$(grep '"request-forwarded","id":"killed"' "$workdir/e1.log" |
    sed 's/.*"to":"\(e[23]\)".*/\1/')
kill -KILL "${entry_pid[$helper]}"
wait "$call"
show_stream killed "$?"
