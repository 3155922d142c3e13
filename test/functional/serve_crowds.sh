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

MEMORY_KB=81920 # of the 88 MB of a small machine; the kernel needs some
DESCRIPTORS=400

# restart: starts e1 again, with few descriptors.
restart()
{
	kill_program e1
	ulimit -S -n "$DESCRIPTORS"
	start_instance e1
	ulimit -S -n "$descriptors_of_shell"
	wait_up e1
	wait_voting e1
}

# is_served NAME: whether an ordinary request is answered.
is_served()
{
	generate "$1" "ordinary length:3" false -m "$CURL_CAP" |
	    grep -q ' w0 w1 w2"'
}

# run_at ADDRESS TEXT SHAPE COUNT BYTES [TARGET]
run_at()
{
	local pid try answered=no
	echo "== $2"
	restart
	crowd "$1" "${@:3}"
	pid=${pid_of[e1]}
	for ((try = 0; try < 20; try++)); do
		is_served e1 && answered=yes && break
		sleep 0.5
	done
	kill -0 "$pid" 2>/dev/null && echo "  alive" || echo "  dead"
	within descriptors "$DESCRIPTORS" \
	    "$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)"
	within memory "$MEMORY_KB" \
	    "$(awk '/^VmHWM/ { print $2 }' "/proc/$pid/status")"
	echo "  an ordinary request is answered: $answered"
	end_crowd
	wait_for "an operator's call" json_is e1 /status instance '"e1"'
}

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
