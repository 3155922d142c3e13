#!/bin/bash
# Requests come late in the grace period of an instance that is kept busy, and
# its engine is slow but sound: none is taken and then cut (LOST). Those that
# are certain to end are still served.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

LATE=4 # requests of each kind

# late PATH NAME COUNT [CURL OPTION...]: requests at the same time; prints how
# many were served whole, refused as not run, and cut.
late()
{
	local i path=$1 name=$2 n=$3 callers=() served=0 refused=0 cut=0
	shift 3
	for ((i = 0; i < n; i++)); do
		call e1 "$path" "$name$i" -X POST "$@" >"$workdir/$name$i" &
		callers+=($!)
	done
	for ((i = 0; i < n; i++)); do
		if ! wait "${callers[i]}"; then
			cut=$((cut + 1))
		elif [ "$(tail -1 "$workdir/$name$i")" = 503 ]; then
			refused=$((refused + 1))
		else
			served=$((served + 1))
		fi
	done
	echo "$name: served $served, refused $refused, cut $cut"
}

start_site raw:raw1,lm,z1 shop1,shop,z1
usual_routes
configure
settings_entry e1
start_instance e1
ctl worker/raw1/slow
draft e1 early 5 >"$workdir/early" &
pids+=($!)
wait_for "the early stream" logged e1 '"request-placed","id":"early"'
kill -TERM "${entry_pid[e1]}"
wait_for "the shutdown" logged e1 '"event":"leaving"'
term_at=$EPOCHREALTIME

# until_after_term SECONDS: waits until so long after SIGTERM.
until_after_term()
{
	sleep "$(echo "$1 $term_at $EPOCHREALTIME" |
	    awk '{ left = $1 + $2 - $3; print (left > 0 ? left : 0) }')"
}

late /order/x order-soon "$LATE"
until_after_term 1.2
late /draft/x draft-late "$LATE" -H 'Token-Usage: 100,20' -H 'Model: m'
late /hint/x hint-late "$LATE" -H 'Token-Usage: 100,20' -H 'Model: m'
until_after_term 2.4
late /order/x order-late "$LATE"
deadline_ms=600
late /order/x order-short-limit "$LATE"
wait "${entry_pid[e1]}"
echo "e1 ended: $?"
for id in draft-late0 hint-late0 order-late0; do
	echo "$id: $(runs "$id") runs"
done
