#!/bin/bash
# Streams without a length and without chunks, which end with their connection:
# one that ends within an event, or before its first, must not look complete.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site raw:raw1,lm,z1
usual_routes
configure
settings_entry e1
start_instance e1

# stream MODE: a draft that the engine answers so.
stream()
{
	ctl "worker/raw1/$1"
	if draft e1 "s-$1" 5 >"$workdir/$1"; then
		echo "$1: complete, $(tail -1 "$workdir/$1")," \
		    "$(event_ids "$workdir/$1")"
	else
		echo "$1: cut, $(grep -c 'ra$' "$workdir/$1") parts of events"
	fi
	grep -o '"outcome":"[a-z-]*","verdict":"[a-z-]*"' "$workdir/e1.log" |
	    tail -1
	sleep 2.2 # longer than an ejection
}

stream well
stream half-event
stream no-event
stream reset
stream endless-event
echo "counted: $(grep -c '"attempt-failed","id":"s-endless-event"' "$workdir/e1.log")"
stream well
