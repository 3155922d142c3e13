#!/bin/bash
# Several entry instances: what one can't read from the store it hears from
# the others; leaving cuts nothing; a reload keeps serving.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 shop1,shop,z1
usual_routes
configure
settings_entry e1
start_instance e1

echo "== SIGTERM: what is under way ends, answers close their connections"
draft e1 g1 100 >"$workdir/g1" &
long=$!
wait_for "events" grep -q '^id: 5$' "$workdir/g1"
kill -TERM "${entry_pid[e1]}"
wait_for "not ready" status_is "${entry_ready[e1]}/" 503
echo "a short request: $(call e1 /order/1 order-1 -d '{}' -D "$workdir/head" |
    tail -1), $(grep -ci '^connection: close' "$workdir/head") close"
echo "a long one: $(call e1 /draft/x g2 -X POST -H 'Token-Usage: 1,90000' \
    -D "$workdir/head" | tail -1), $(grep -ci '^retry-after' "$workdir/head")" \
    "time to come back, begun $(runs g2) times"
wait "$long" && echo "under way: whole, $(event_ids "$workdir/g1")"
wait "${entry_pid[e1]}"
echo "exit status $?"
grep -o '"event":"stop"' "$workdir/e1.log"

echo "== SIGHUP: settings are read again, broken ones are not taken"
start_instance e1
kill -HUP "${entry_pid[e1]}"
wait_for "a reload" logged e1 '"reload","outcome":"taken"'
echo '{' >"$workdir/e1.json.broken"
cp "$workdir/e1.json" "$workdir/e1.json.good"
cp "$workdir/e1.json.broken" "$workdir/e1.json"
kill -HUP "${entry_pid[e1]}"
wait_for "a refusal" logged e1 '"reload","outcome":"kept"'
echo "order $(call e1 /order/1 order-2 -d '{}' | tail -1)"
cp "$workdir/e1.json.good" "$workdir/e1.json"

echo "== the store forgets its history: nothing is lost"
ctl store/forget
wait_for "a list" logged e1 'store-history-lost'
echo "order $(call e1 /order/1 order-3 -d '{}' | tail -1)"
route extra /extra/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
configure
wait_for "the route" call_is e1 /extra/1 x1 200
echo "the new route serves"

echo "== the store is away for long: what is known holds"
ctl store/busy
wait_for "the outage" logged e1 'store-view-lost'
echo "order $(call e1 /order/1 order-4 -d '{}' | tail -1)"
ctl del/servers/shop1
ctl store/up
wait_for "its return" logged e1 'store-view-regained'
wait_for "the entry to be missing" logged e1 'upstream-held.*shop1'
echo "order $(call e1 /order/1 order-5 -d '{}' | tail -1)"
wait_for "the entry to be gone" logged e1 'upstream-removed.*shop1'
echo "order $(call e1 /order/1 order-6 -d '{}' | tail -1)"
ctl worker/shop1/ready
wait_for "it again" call_is e1 /order/1 order-7 200

echo "== an instance that starts while the store is silent learns from another"
settings_entry e2 "${entry_control[e1]}"
ctl store/silent
start_instance e2
logged e2 peer-snapshot && echo "by a snapshot"
echo "order $(call e2 /order/1 order-8 -d '{}' | tail -1)"
ctl store/up

echo "== one of them is killed: the other notices, and serves"
kill -KILL "${entry_pid[e2]}"
wait_for "the loss" logged e1 '"peer-lost","peer":"e2"'
echo "order $(call e1 /order/1 order-9 -d '{}' | tail -1)"
