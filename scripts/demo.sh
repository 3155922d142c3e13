#!/bin/bash
# Demonstrates the system over stand-ins: sends generations, a lookup and an
# order through three instances, disables a zone, and shuts down an instance
# that is forwarding a stream. Prints "demo: ok" at the end, or fails.
BINDIR=${BUILD:-build}
FIRST_PORT=${FIRST_PORT:-19500}
cd "$(dirname "$0")/.." || exit 1
. test/functional/lib.sh || exit 1
. scripts/fleet.sh || exit 1

step()
{
	echo "demo: $*"
}

step "starting stand-ins and three instances"
start_fleet
step "bundle 1 in force at all of them"

lines=$(generate e1 'route notes length:40' true -N | tokens | wc -w)
[ "$lines" = 40 ] || fail "streamed generation: $lines tokens of 40"
step "streamed generation: 40 tokens, once and in order"

whole=$(generate e2 'certificate length:25' false | tr ' ' '\n' |
    grep -c '^w[0-9]')
[ "$whole" = 25 ] || fail "whole generation: $whole tokens of 25"
step "whole generation: 25 tokens in one answer"

order e3 van-17 >"$workdir/order.1"
order e1 van-17 >"$workdir/order.2"
grep -q '"run": *1' "$workdir/order.1" || fail "order: $(cat "$workdir/order.1")"
cmp -s "$workdir/order.1" "$workdir/order.2" ||
    fail "repeated order: $(cat "$workdir/order.2")"
runs=$(get "${caller_of[s1]}/stats" | tr -d ' ' | grep -o '"van-17":[0-9]*')
[ "$runs" = '"van-17":1' ] || fail "order ran: $runs"
step "order placed at e3 and repeated at e1: ran once, same answer"

lookup=$(get "${caller_of[e2]}/services/stock/stock/7" \
    -H 'Authorization: Bearer clinic-1')
case $lookup in
*stock*) step "stock lookup answered" ;;
*) fail "stock lookup: $lookup" ;;
esac

zones_out=bilbao
publish_bundle
wait_bundle "$bundle_version" e1 e2 e3
before=$(field "${caller_of[g1]}/stats" started)
for i in 1 2 3 4 5 6; do
	generate e2 "zone $i length:5" false >/dev/null
done
[ "$(field "${caller_of[g1]}/stats" started)" = "$before" ] ||
    fail "work went into the zone taken out"
step "bilbao taken out by bundle $bundle_version: no new work went there"

"$BINDIR/godwitvale" audit "${operator_of[e2]}" >"$workdir/audit" ||
    fail "audit"
grep -q bilbao "$workdir/audit" || fail "no audit line on bilbao"
step "audit trail names the zone, who and the bundle"

generate e3 'long one length:300' true -N >"$workdir/stream" &
stream=$!
wait_for "the stream's first token" grep -q data: "$workdir/stream"
kill -TERM "${pid_of[e3]}"
wait "$stream"
wait "${pid_of[e3]}" || fail "e3 did not leave cleanly"
lines=$(tokens <"$workdir/stream" | wc -w)
[ "$lines" = 300 ] || fail "leaving cut a stream: $lines tokens of 300"
grep -q 'DONE' "$workdir/stream" || fail "leaving cut a stream's end"
step "e3 left gracefully: its stream of 300 tokens came whole"
echo "demo: ok"
