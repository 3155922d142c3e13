#!/bin/bash
# Engines crash in series under a prompt segment: all instances stop sending
# requests with it, also one that starts later, and serve the others.
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
for instance in e1 e2 e3; do
	start_instance "$instance"
done
wait_for "all instances to know each other" logged e3 '"peer-joined","peer":"e2"'

# prompt NAME ID SEGMENTS: a short draft with these segments; its status.
prompt()
{
	draft "$1" "$2" 5 -H "Prefix-Hash: $3" | tail -1
}

# engines_are_up: whether no engine is restarting after a crash.
engines_are_up()
{
	sleep 1.2
}

# not_together: engines that end at the same moment count as one crash.
not_together()
{
	sleep 0.4
}

# rules NAME: how many quarantines an instance has logged.
rules()
{
	grep -c '"segments-quarantined"' "$workdir/$1.log"
}

# has_rules NAME COUNT
has_rules()
{
	[ "$(rules "$1")" -ge "$2" ]
}

echo "== two crashes under one segment, seen by two instances"
ctl crashing/dead
echo "safe: $(prompt e1 s1 c0:9,5b:9,1:9)"
echo "crashing at e1: $(prompt e1 d1 c0:9,dead:9,2:9)"
wait_for "the first crash" logged e1 'upstream-cut-at-start.*crashed'
not_together
echo "crashing at e2: $(prompt e2 d2 c0:9,dead:9,3:9)"
for instance in e1 e2 e3; do
	wait_for "a rule at $instance" has_rules "$instance" 1
	grep -m1 -o '"segments-quarantined","segments":"[a-z0-9,]*","crashes":[0-9]*' \
	    "$workdir/$instance.log"
done

echo "== all instances refuse requests with it, at once and truthfully"
for instance in e1 e2 e3; do
	echo "$instance: $(prompt "$instance" "d-$instance" c0:9,dead:9,4:9)," \
	    "begun $(runs "d-$instance") times"
done
call e3 /draft/x d4 -X POST -H 'Token-Usage: 100,20' \
    -H 'Prefix-Hash: c0:9,dead:9,5:9' -D "$workdir/head" >/dev/null
echo "times to come back: $(grep -ci '^retry-after' "$workdir/head")"

echo "== requests that share its other segments, or own it last, are served"
engines_are_up
echo "same first segment: $(prompt e2 s2 c0:9,5c:9,6:9)"
echo "as its own segment: $(prompt e3 s3 c0:9,dead:9)"

echo "== an instance that is restarted learns of it"
kill -KILL "${entry_pid[e3]}"
wait "${entry_pid[e3]}" 2>/dev/null
start_instance e3
wait_for "a rule at e3" has_rules e3 2
echo "e3: $(prompt e3 d5 c1:9,dead:9,7:9), begun $(runs d5) times"

echo "== a second crashing segment"
ctl crashing/dead,beef
echo "e1: $(prompt e1 b1 c0:9,beef:9,1:9)"
wait_for "its first crash" logged e1 'upstream-cut-at-start","id":"b1".*crashed'
not_together
echo "e3: $(prompt e3 b2 c0:9,beef:9,2:9)"
wait_for "a rule at e2" has_rules e2 2
echo "e2: $(prompt e2 b3 c0:9,beef:9,3:9), begun $(runs b3) times"

echo "== engines that cut answers but live on are not evidence"
engines_are_up
for engine in lm1 lm2 lm3 lm4; do
	ctl "worker/$engine/cutstart"
done
for i in 1 2 3; do
	prompt e1 "c$i" "c0:9,cafe:9,$i:9"
done
wait_for "the query's answer" logged e1 'cut-at-start","id":"c3".*not-crashed'
for engine in lm1 lm2 lm3 lm4; do
	ctl "worker/$engine/well"
done
sleep 4 # longer than an ejection
echo "the same segment: $(prompt e1 c4 c0:9,cafe:9,4:9)"

echo "== it is no longer crashing: a trial lifts the quarantine everywhere"
ctl crashing/none
trial_passes()
{
	for instance in e1 e2 e3; do
		prompt "$instance" "t$((++n_tries))" c0:9,dead:9,8:9 >/dev/null
	done
	logged e1 '"quarantine-lifted","segments":"dead"' &&
	    logged e2 '"quarantine-lifted","segments":"dead"' &&
	    logged e3 '"quarantine-lifted","segments":"dead"'
}
n_tries=0
wait_for "a trial" trial_passes
for instance in e1 e2 e3; do
	echo "$instance: $(prompt "$instance" "l-$instance" c0:9,dead:9,9:9)"
done
echo "trials: $(cat "$workdir"/e?.log | grep -c '"quarantine-trial".*"segments":"dead"')"
