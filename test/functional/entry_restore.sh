#!/bin/bash
# The store comes back from a copy that is some seconds old. What is in force
# doesn't go back until it is written again.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1 lm3,lm,z1 shop1,shop,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
start_instance e1
start_instance e2

declare -a before

# count NAME PATTERN: how many lines of an instance's log are like that.
count()
{
	grep -cE "$2" "$workdir/$1.log"
}

# logged_at_both PATTERN
logged_at_both()
{
	logged e1 "$1" && logged e2 "$1"
}

# prompts NAME: the different statuses of some short drafts.
prompts()
{
	local i
	for ((i = 0; i < 6; i++)); do
		draft "$1" "p$((++n_prompts))" 2 | tail -1
	done | sort -u | paste -sd ' '
}
n_prompts=0

ctl worker/lm3/leave
wait_for "lm3 to be gone" logged_at_both '"upstream-removed","upstream":"lm3"'
ctl store/save

echo "== written after the copy: a route, an evacuation, an engine; one is gone"
ctl worker/lm3/back
wait_for "lm3 again" logged_at_both '"upstream-added","upstream":"lm3".*'
ctl worker/lm2/leave
wait_for "lm2 to be gone" logged_at_both '"upstream-removed","upstream":"lm2"'
route extra /extra/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
configure
ctl put/op/evacuate/z9 '{}'
wait_for "the route" call_is e1 /extra/1 x1 200
wait_for "the route at e2" call_is e2 /extra/1 x2 200
wait_for "the evacuation" logged_at_both '"zone-evacuated","zone":"z9"'
for instance in e1 e2; do
	before[${instance#e}]=$(count "$instance" '"upstream-added","upstream":"lm2"')
done

echo "== the store is away for a moment and comes back from the copy"
ctl store/busy
ctl store/restore
ctl store/up
wait_for "both scopes to be read" logged_at_both '"store-restored","scope":1.*"era":2'
wait_for "the upstreams" logged_at_both '"store-restored","scope":0.*"era":2'
echo "the route: $(call e1 /extra/1 x3 | tail -1) $(call e2 /extra/1 x4 | tail -1)"
logged_at_both '"zone-evacuation-held","zone":"z9"' && echo "evacuation held"
logged_at_both '"zone-returned"' && echo "WRONG: evacuation ended"
for instance in e1 e2; do
	[ "$(count "$instance" '"upstream-added","upstream":"lm2"')" = \
	    "${before[${instance#e}]}" ] && echo "lm2 isn't revived at $instance"
done
logged_at_both '"upstream-held","upstream":"lm3"' && echo "lm3 is held"
ctl worker/lm3/ready # at once: it is held for as long as others need to write
echo "drafts: $(prompts e1) $(prompts e2)"

echo "== an instance that starts now learns the newer configuration from others"
start_instance e3
wait_for "the route at e3" call_is e3 /extra/1 x5 200
echo "served"

echo "== all is written again, with revisions that were used before"
ctl worker/lm1/ready
ctl worker/shop1/ready
route more /more/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
configure
ctl put/op/evacuate/z9 '{}'
for instance in e1 e2 e3; do
	wait_for "the next route at $instance" call_is "$instance" /more/1 "m-$instance" 200
done
sleep 2.5 # longer than a missing engine is held
[ "$(count e1 '"upstream-removed","upstream":"lm3"')" = 1 ] && echo "lm3 stays"
ctl worker/lm1/draining
wait_for "a change of an engine" logged_at_both '"upstream-draining","upstream":"lm1"'
ctl del/op/evacuate/z9
wait_for "the end of the evacuation" logged_at_both '"zone-returned","zone":"z9"'
echo "drafts: $(prompts e1) $(prompts e2)"
