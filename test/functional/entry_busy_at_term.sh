#!/bin/bash
# An instance is stopped when SIGTERM comes, and notices it late. Requests that
# were sent later than 3 s after the signal counted as early ones, were passed
# on to an engine that fell silent, and cut as the platform killed the process (LOST).
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

LATE=4      # requests of each kind
GRACE=8     # seconds from SIGTERM until the platform sends SIGKILL
STOPPED=1.2 # seconds for which the instance stands still at SIGTERM
SENT=3.2    # seconds from SIGTERM to the late requests

# late PATH NAME [CURL OPTION...]: requests at the same time, in the background.
declare -A late_callers
late()
{
	local i path=$1 name=$2
	shift 2
	for ((i = 0; i < LATE; i++)); do
		call e1 "$path" "$name$i" -X POST "$@" >"$workdir/$name$i" &
		late_callers[$name]+=" $!"
	done
}

# report NAME: how many of them were served whole, refused as not run, and cut.
report()
{
	local i=0 caller served=0 refused=0 cut=0
	for caller in ${late_callers[$1]}; do
		if ! wait "$caller"; then
			cut=$((cut + 1))
		elif [ "$(tail -1 "$workdir/$1$i")" = 503 ]; then
			refused=$((refused + 1))
		else
			served=$((served + 1))
		fi
		i=$((i + 1))
	done
	echo "$1: served $served, refused $refused, cut $cut"
}

start_site raw:raw1,lm,z1 shop1,shop,z1
usual_routes
configure
settings_entry e1
sed -i "s/\"grace_ms\": 4000/\"grace_ms\": ${GRACE}000/" "$workdir/e1.json"
start_instance e1
ctl worker/raw1/held
draft e1 early 5 >"$workdir/early" &
pids+=($!)
wait_for "the early stream" logged e1 '"request-placed","id":"early"'
kill -STOP "${entry_pid[e1]}"
kill -TERM "${entry_pid[e1]}"
(sleep "$GRACE" && kill -KILL "${entry_pid[e1]}") 2>/dev/null &
pids+=($!)
sleep "$STOPPED"
kill -CONT "${entry_pid[e1]}"
wait_for "the shutdown" logged e1 '"event":"leaving"'
sleep "$(echo "$SENT $STOPPED" | awk '{ print $1 - $2 }')"
late /hint/x hint-late -H 'Token-Usage: 100,36' -H 'Model: m'
late /order/x order-late
for name in hint-late order-late; do
	report "$name"
done
wait "${entry_pid[e1]}"
echo "e1 ended: $?"
echo "hints passed on: $(grep -c '"request-placed","id":"hint-late' \
    "$workdir/e1.log")"
