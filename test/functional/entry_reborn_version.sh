#!/bin/bash
# While the store is silent, engines are born again under their ids with another
# software version: streams that callers take up go on at the version that began
# them, or are refused as not run. Without a rebirth they go on.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
for instance in e1 e2 e3; do
	start_instance "$instance"
done
for instance in e1 e2 e3; do
	wait_for "$instance to know the others" bash -c "[ \$(grep -c \
	    '\"event\":\"peer-joined\"' '$workdir/$instance.log') -ge 2 ]"
done

# silence_store: until the instances' view is old.
silence_store()
{
	ctl store/silent
	sleep 2
}

# back_to_normal: the store is back, and all engines with one version.
back_to_normal()
{
	ctl store/up
	ctl worker/lm1/back
	for engine in lm1 lm2; do
		ctl "worker/$engine/version-v1"
	done
	for instance in e1 e2 e3; do
		wait_for "$instance to read the store" \
		    call_is "$instance" /check/x "n$((++n_normal))" 503
	done
	sleep 3
}
n_normal=0

echo "== the store is silent, and no engine is born again"
silence_store
begin e1 a
sleep 0.6
leave
take_up e1 a b
take_up e2 a c

echo "== the only engine that is left was born again"
back_to_normal
begin e1 d
sleep 0.6
leave
silence_store
ctl worker/lm1/gone
ctl worker/lm2/version-v2
take_up e1 d e
take_up e2 d f

echo "== the same, after a restart of the instance that began the streams"
kill -KILL "${entry_pid[e1]}"
wait "${entry_pid[e1]}" 2>/dev/null
start_instance e1
take_up e1 d g

echo "== streams begin at an engine that was born again unseen"
back_to_normal
silence_store
ctl worker/lm1/version-v2
begin e1 h
sleep 0.6
leave
take_up e2 h i | sed 's/same version: [0-9]*, another: 0, .*/none at another version/'
take_up e3 h j | sed 's/same version: [0-9]*, another: 0, .*/none at another version/'
