#!/bin/bash
# Model orders on stand-ins: three instances and four engines, two of which
# ignore the fencing number. One holder brings every engine to the bundle's
# version; it is killed, and paused, and others take over.
FIRST_PORT=20500
cd "$(dirname "$0")/../.." || exit 1
. test/functional/lib.sh || exit 1
. scripts/fleet.sh || exit 1

engines=(g1 g2 g3 g4)
fenced="g1 g2"

# The fleet's own, with a weight store and engines that ignore the number.
eval "fleet_$(declare -f upstream_json)"
eval "fleet_$(declare -f write_settings)"

upstream_json()
{
	case " $fenced " in
	*" $1 "*) fleet_upstream_json "$@" ;;
	*) fleet_upstream_json "$@" |
	    sed 's/"checks_fence":true/"checks_fence":false/' ;;
	esac
}

write_settings()
{
	fleet_write_settings "$@"
	sed -i "s|\"members\": \"$members\"|&, \"weights\": \"$weights\"|" "$3"
}

# orders_of ENGINE: "FENCE VERSION" of each order that it accepted, in turn.
orders_of()
{
	get "${caller_of[$1]}/stats" | tr -d ' \n' |
	    grep -o '{[^{}]*"load-model"[^{}]*}' |
	    sed 's/.*"fence":\([0-9]*\).*"version":"\([^"]*\)".*/\1 \2/'
}

# all_loaded VERSION: whether every engine reports it.
all_loaded()
{
	local name
	for name in "${engines[@]}"; do
		field_is "${caller_of[$name]}/load" model "\"m1/$1\"" ||
		    return 1
	done
}

# roll_out VERSION: a bundle that names it.
roll_out()
{
	model_version=$1
	publish_bundle
}

# once_each VERSION: every engine accepted exactly one order for it.
once_each()
{
	local name count
	for name in "${engines[@]}"; do
		count=$(orders_of "$name" | grep -c " $1\$")
		[ "$count" = 1 ] || fail "$name: $count orders of version $1"
	done
}

# rising: no engine accepted an older fence or version after a newer one.
rising()
{
	local name
	for name in "${engines[@]}"; do
		orders_of "$name" | sort -c -n -k1,1 2>/dev/null ||
		    fail "$name: fences $(orders_of "$name" | tr '\n' ';')"
		orders_of "$name" | sort -c -n -k2,2 2>/dev/null ||
		    fail "$name: versions $(orders_of "$name" | tr '\n' ';')"
	done
}

# gains: "FENCE NAME" of every lease gained so far, lowest first.
gains()
{
	local name
	for name in e1 e2 e3; do
		sed -n "s/.*model_lease_gained.*fence=\([0-9]*\).*/\1 $name/p" \
		    "$workdir/$name.log"
	done | sort -n
}

# new_holder: a lease above $fence was gained; sets $holder and $fence.
new_holder()
{
	local last
	last=$(gains | tail -1)
	[ -n "$last" ] && [ "${last% *}" -gt "$fence" ] || return 1
	holder=${last#* }
	fence=${last% *}
}

# new_holder_since FENCE: the same above another fence.
new_holder_since()
{
	local seen=$fence
	fence=$1
	new_holder && return 0
	fence=$seen
	return 1
}

# ordered VERSION: some engine was ordered to load it.
ordered()
{
	local name
	for name in "${engines[@]}"; do
		orders_of "$name" | grep -q " $1\$" && return 0
	done
	return 1
}

make_keys
start_platform
start_standin weights --rate 20
weights=$address
start_engine g1 bilbao --step-ms 5 --load-ms 300
start_engine g2 santander --step-ms 5 --load-ms 300
start_engine g3 oviedo --step-ms 5 --load-ms 300 --ignore-fence
start_engine g4 bilbao --step-ms 5 --load-ms 300 --ignore-fence
publish_bundle
add_instance e1 bilbao
add_instance e2 santander
add_instance e3 oviedo
list_members e1 e2 e3
for name in e1 e2 e3; do
	start_instance "$name"
done
wait_bundle 1 e1 e2 e3
wait_voting e1 e2 e3
fence=0
wait_for "a holder" new_holder
[ "$(gains | wc -l)" = 1 ] || fail "holders: $(gains | tr '\n' ';')"
echo "one holder"

roll_out 2
wait_for "version 2 everywhere" all_loaded 2
once_each 2
[ "$(gains | wc -l)" = 1 ] || fail "holders: $(gains | tr '\n' ';')"
get "${operator_of[$holder]}/audit" >"$workdir/audit"
[ "$(grep -o 'load-model m1/2' "$workdir/audit" | wc -l)" = 4 ] ||
    fail "audit: $(cat "$workdir/audit")"
echo "version 2: each engine ordered once, by one holder; four audit lines"

killed=$holder
kill -KILL "${pid_of[$killed]}"
roll_out 3
wait_for "another holder" new_holder
[ "$holder" != "$killed" ] || fail "the killed instance holds the lease"
wait_for "version 3 everywhere" all_loaded 3
once_each 3
rising
echo "holder killed: version 3, each engine ordered once, by another holder"

start_instance "$killed"
wait_bundle "$bundle_version" e1 e2 e3
wait_voting e1 e2 e3
paused=$holder
roll_out 4
wait_for "an order of version 4" ordered 4
kill -STOP "${pid_of[$paused]}"
wait_for "another holder" new_holder
[ "$holder" != "$paused" ] || fail "the paused instance holds the lease"
roll_out 5
wait_for "version 5 everywhere" all_loaded 5
kill -CONT "${pid_of[$paused]}"
wait_bundle "$bundle_version" "$paused"
wait_for "the paused holder to step down" \
    grep -q 'model_lease_ended.*how=lost' "$workdir/$paused.log"
once_each 5
rising
all_loaded 5 || fail "an engine left version 5"
echo "holder paused in a roll-out and woken: version 5, no older order taken"

# A holder that can't renew in time loses the lease to another one; that may
# have happened since it was last looked at.
wait_for "a holder" new_holder_since $((fence - 1))
left=$holder
kill -TERM "${pid_of[$left]}"
wait "${pid_of[$left]}" || fail "$left did not leave cleanly"
grep -q "model_lease_ended.*how=released fence=$fence" "$workdir/$left.log" ||
    fail "$left kept the lease"
wait_for "another holder" new_holder
[ "$holder" != "$left" ] || fail "the instance that left holds the lease"
roll_out 6
wait_for "version 6 everywhere" all_loaded 6
once_each 6
rising
echo "holder left: lease released, version 6 by another holder"
