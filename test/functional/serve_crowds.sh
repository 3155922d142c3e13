#!/bin/bash
# Groups of misbehaving callers at the addresses of an instance of "serve": it
# lives, stays within the memory and the descriptors of a small machine, and
# answers an ordinary request while they hold their connections.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"
# shellcheck source=test/functional/serve_crowd.sh
. "$(dirname "$0")/serve_crowd.sh"

ORDERS=/services/orders/orders
start_fleet
callers=${caller_of[e1]}
run_at "$callers" "large chunks, short of the end" chunks 200 900000 $ORDERS
run_at "$callers" "chunks of one byte, short of the end" \
    bytes 12 200000 $ORDERS
run_at "$callers" "announced and not delivered" announced 200 900000 $ORDERS
run_at "$callers" "over the limit, announced" \
    over-announced 60 16777216 $ORDERS
run_at "$callers" "over the limit, not announced" \
    over-chunks 60 16777216 $ORDERS
run_at "$callers" "heads without an end" head 300 400000
run_at "$callers" "requests whose responses are not read" \
    pipeline 100 400000 /v1/models
run_at "${operator_of[e1]}" "bodies at the address for operators" \
    chunks 200 900000 /status
run_at "${peer_of[e1]}" "bodies at the address for other instances" \
    chunks 200 900000 /load

echo "== one request of the largest size, without others"
restart
head -c 1048576 /dev/zero | tr '\0' x >"$workdir/large"
ask "${caller_of[e1]}$ORDERS" -H "X-Request-Id: large" -H 'Expect:' \
    --data-binary @"$workdir/large"
ask "${caller_of[e1]}$ORDERS" -H "X-Request-Id: pieces" -H 'Expect:' \
    -H 'Transfer-Encoding: chunked' --data-binary @"$workdir/large"
check_logs
