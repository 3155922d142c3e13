#!/bin/bash
# Starts a small fleet of stand-ins and instances to try by hand, and keeps it
# running until it is interrupted.
BINDIR=${BUILD:-build}
FIRST_PORT=${FIRST_PORT:-19600}
cd "$(dirname "$0")/.." || exit 1
. test/functional/lib.sh || exit 1
. scripts/fleet.sh || exit 1
start_fleet
cat <<EOF
Three instances serve. Try, from another terminal:

curl -N http://${caller_of[e1]}/v1/completions \\
    -H 'Authorization: Bearer clinic-1' \\
    -d '{"model":"m1","prompt":"hello length:20","stream":true}'

curl -i http://${caller_of[e2]}/services/orders/orders \\
    -H 'Authorization: Bearer clinic-1' -H 'X-Request-Id: van-1' -d '{}'

$BINDIR/godwitvale status ${operator_of[e1]}
$BINDIR/godwitvale audit ${operator_of[e1]}

Interrupt with Ctrl-C to stop.
EOF
wait "${pid_of[e1]}"
