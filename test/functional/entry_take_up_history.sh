#!/bin/bash
# All instances are killed and come back, and the store has discarded the older
# part of its history. Streams of the only version there was were all refused
# (LOST). What is left of the history proves the version, or the stream isn't
# continued (ORDER).
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

# Seconds of heartbeats after which the history tells enough, with the streams'
# age, the clocks' difference, and the time that upstreams serve unlisted.
BEATS=20
TIME_LIMIT=6000 # ms, of the route
TIME_LEFT=2500  # ms, when the streams are taken up

engines="lm1 lm2"

# beat SECONDS: a heartbeat of each engine each second.
beat()
{
	local i engine
	for ((i = 0; i < $1; i++)); do
		sleep 1
		for engine in $engines; do
			ctl "worker/$engine/beat"
		done
	done
}

# history: how many revisions the heartbeats take.
history()
{
	echo "$engines" | wc -w | awk -v beats="$BEATS" '{ print $1 * beats }'
}

# lose_all KEPT: all instances are lost and come back, while the store keeps so
# many revisions of its history.
lose_all()
{
	kill -9 "${entry_pid[@]}"
	wait "${entry_pid[@]}" 2>/dev/null
	leave
	ctl "store/trim-$1"
	start_instance e1
	start_instance e2
}

# resume PREFIX NEW: the callers take the streams up, with what is left of
# their time.
resume()
{
	deadline_ms=$TIME_LEFT
	take_up e2 "$1" "$2"
	deadline_ms=$TIME_LIMIT
}

start_site lm1,lm,z1 lm2,lm,z1 lm3,lm,z1
ctl worker/lm3/leave
usual_routes
configure
deadline_ms=$TIME_LIMIT
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
start_instance e1
start_instance e2

echo "== one version, the start of the engines is discarded"
beat "$BEATS"
begin e1 a
lose_all "$(history)"
resume a b

echo "== the same, and little is left of the history"
begin e1 c
lose_all 3
resume c d

echo "== two versions side by side, one of them leaves: the history tells"
ctl worker/lm3/version-v2
engines="lm1 lm2 lm3"
beat 2
begin e1 f
engines="lm1 lm2"
ctl worker/lm3/leave
beat 1
lose_all 6
resume f g

echo "== two versions side by side, one of them has left: it doesn't tell"
ctl worker/lm3/version-v2
engines="lm1 lm2 lm3"
beat 2
begin e1 h
engines="lm1 lm2"
ctl worker/lm3/leave
beat 1
lose_all 2
resume h i

echo "== the other version has left long ago"
beat "$BEATS"
begin e1 k
lose_all "$(history)"
resume k m
