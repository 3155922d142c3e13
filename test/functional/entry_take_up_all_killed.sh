#!/bin/bash
# All instances are killed and come back, also in the middle of a release: a
# stream that is taken up then never goes on at another software version
# (ORDER), and those whose version is certain still go on.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

# With the route's time limit, instances that have watched for longer than this
# know all versions that may have begun a stream, in seconds.
WATCH_SPAN=12

start_site lm1,lm,z1 lm2,lm,z1 lm3,lm,z1 lm4,lm,z1
for engine in lm3 lm4; do
	ctl "worker/$engine/leave"
done
usual_routes
configure
deadline_ms=5000
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"

# knows NAME OTHER: whether an instance, since its last start, knows another.
knows()
{
	tac "$workdir/$1.log" | sed '/"event":"start"/q' |
	    grep -q "\"peer-joined\",\"peer\":\"$2\""
}

start_all()
{
	start_instance e1
	start_instance e2
	start_instance e3
	wait_for "e2 to know e3" knows e2 e3
	wait_for "e3 to know e2" knows e3 e2
}

kill_all()
{
	kill -9 "${entry_pid[@]}"
	wait "${entry_pid[@]}" 2>/dev/null
	leave
}

start_all
echo "== one version, all are killed: the store's history is whole"
begin e1 a
kill_all
start_all
take_up e2 a b

echo "== all are killed in a release, and the old version has left meanwhile"
begin e1 c
ctl worker/lm3/version-v2
ctl worker/lm4/version-v2
ctl worker/lm1/draining
ctl worker/lm2/draining
sleep 0.5
kill_all
ctl worker/lm1/leave
ctl worker/lm2/leave
start_all
take_up e2 c d

echo "== the same, and the store's history is lost"
begin e1 f
kill_all
for engine in lm1 lm2; do
	ctl "worker/$engine/version-v1"
done
for engine in lm3 lm4; do
	ctl "worker/$engine/leave"
done
ctl store/forget
start_all
take_up e2 f g

echo "== others have watched for long: an instance that has just started asks them"
sleep "$WATCH_SPAN"
begin e1 h
leave
kill -9 "${entry_pid[e3]}"
wait "${entry_pid[e3]}" 2>/dev/null
start_instance e3
wait_for "e3 to know e2" knows e3 e2
for ((i = 0; i < STREAMS; i++)); do
	cp "$workdir/h$i" "$workdir/never$i"
done
take_up e3 h i
take_up e3 never k

echo "== all have just started, and the history is lost: refused"
kill_all
start_all
take_up e2 never m
