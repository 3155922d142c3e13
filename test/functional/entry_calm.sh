#!/bin/bash
# An entry instance on the platform's stand-in, in calm: routes, keys, each
# kind of request, readiness, counters.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z2 shop1,shop,z1
settings_entry e1
"$BINDIR/godwitvale" entry --settings "$workdir/e1.json" \
    >>"$workdir/e1.log" 2>>"$workdir/e1.err" &
pids+=($!)
wait_for "an answer" answers "${entry_ready[e1]}/"
wait_for "upstreams" logged e1 'upstream-added.*shop1'
echo "no configuration: ready $(status "${entry_ready[e1]}/"), request $(
    call e1 /order/1 a0 -d '{}')"
usual_routes
configure
wait_for "readiness" is_ready e1

echo "== each kind of request"
call e1 /order/1 order-1 -d '{}'
call e1 /check/1 check-1
draft e1 draft-1 5
echo "order ran $(runs order-1) time"

echo "== what is refused"
echo "unknown route $(call e1 /nowhere/ a1)"
echo "unknown key $(curl -sS -o /dev/null -w '%{http_code}' \
    "http://${entry_caller[e1]}/order/1" -H 'Host: a.example' \
    -H 'Attempt-Id: a2' -H 'Authorization: Token other' -d '{}')"
echo "too large $(head -c 70000 /dev/zero | call e1 /order/1 a3 \
    -H 'Expect:' --data-binary @- -o /dev/null)"

echo "== a worker that sheds; a repeat only where it is allowed"
ctl worker/shop1/shed
echo "order $(call e1 /order/1 order-2 -d '{}'), ran $(runs order-2) times"
ctl worker/shop1/reset
echo "order $(call e1 /order/1 order-3 -d '{}'), ran $(runs order-3) time"
ctl worker/shop1/well

echo "== a caller that goes while its order is under way: it may have run"
ctl worker/shop1/mute
call e1 /order/1 order-4 -d '{}' -m 1
wait_for "its end" logged e1 '"id":"order-4".*"outcome":"caller-gone"'
logged e1 '"id":"order-4".*"verdict":"may-have-run"' && echo "as the log says"
ctl worker/shop1/well

echo "== a large answer and a caller that takes its time"
ctl worker/shop1/big
call e1 /check/1 check-2 --limit-rate 8M -o "$workdir/big"
wc -c <"$workdir/big"
ctl worker/shop1/well

echo "== counters and status"
get "${entry_metrics[e1]}/metrics" |
    grep -E '^godwitvale_entry_requests_ended_total.*(draft|no-route)'
get "${entry_metrics[e1]}/metrics" | grep -E '^godwitvale_entry_config_version'
"$BINDIR/godwitvale" status "${entry_metrics[e1]}" |
    grep -E '^(ready|config_version|store_reachable): '

echo "== from a request's id to its cause"
"$BINDIR/godwitvale" explain order-3 "$workdir/e1.log" |
    sed -n 's/, [0-9]* ms before.*//; /^cause/p; /^last event/p'

echo "== SIGTERM: what can't end within the grace is refused, the rest served"
kill -TERM "${pids[-1]}"
wait_for "the leaving" logged e1 '"event":"leaving"'
draft e1 leave-1 5 | tail -n 1
call e1 /order/1 leave-2 -d '{}'
echo "long draft $(draft e1 leave-3 300), ran $(runs leave-3) times"
logged e1 '"id":"leave-3".*"outcome":"leaving"' && echo "it says why"
