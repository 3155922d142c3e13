#!/bin/bash
# Callers take streams up at other instances than those that began them: each
# goes on at the software version that began it, or is refused as not run.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1 lm3,lm,z1 lm4,lm,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
start_instance e1
start_instance e2
start_instance e3
wait_for "the instances to know each other" logged e3 '"peer-joined","peer":"e2"'
wait_for "the instances to know each other" logged e2 '"peer-joined","peer":"e3"'

echo "== one version: a stream that nobody remembers goes on"
echo 'id: 3' >"$workdir/never0"
for ((i = 1; i < STREAMS; i++)); do
	cp "$workdir/never0" "$workdir/never$i"
done
take_up e2 never n | sed 's/same version: 0, another: 6/served: 6/'

echo "== the same, but the store is silent: there may be another version by now"
ctl store/silent
sleep 4
take_up e3 never m
ctl store/up
sleep 2

echo "== two versions, the first instance lives"
ctl worker/lm2/version-v2
ctl worker/lm4/version-v2
sleep 1
begin e1 a
leave
take_up e2 a b

echo "== taken up once more, at a third instance"
take_up e3 a c

echo "== the first instance is killed, and restarted without what it knew"
begin e1 d
kill -9 "${entry_pid[e1]}"
leave
take_up e3 d f
start_instance e1
take_up e1 d g

echo "== a stream that nobody remembers can't go on"
take_up e2 never h
grep -c '"outcome":"stream-unknown"' "$workdir/e2.log"

echo "== the version that began them is gone"
for engine in lm2 lm4; do
	ctl "worker/$engine/leave"
done
sleep 0.7
begin e1 i
leave
ctl worker/lm2/back
ctl worker/lm4/back
ctl worker/lm1/leave
ctl worker/lm3/leave
sleep 0.7
take_up e2 i k
grep -c '"outcome":"no-upstream-of-version"' "$workdir/e2.log"
