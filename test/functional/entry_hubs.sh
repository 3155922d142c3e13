#!/bin/bash
# Instances exchange their messages through hubs; one is stopped for a while and
# one is killed: the others choose another one, and all learn what changes.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

hub_min=3
start_site shop1,shop,z1 shop2,shop,z2
usual_routes
configure
all=(e1 e2 e3 e4 e5 e6)
for instance in "${all[@]}"; do
	settings_entry "$instance" "${entry_control[e1]:-}"
done
for instance in "${all[@]}"; do
	start_instance "$instance"
done

# hub_of NAME: the hub that an instance chose last.
hub_of()
{
	sed -n 's/.*"hub-changed","hub":"\([^"]*\)".*/\1/p' \
	    "$workdir/$1.log" | tail -1
}

# has_hub_but NAME HUB: it has one, and not this one.
has_hub_but()
{
	[ -n "$(hub_of "$1")" ] && [ "$(hub_of "$1")" != "$2" ]
}

# left NAME HUB: it uses another one, as it found HUB silent or cut off, or as
# others that did so have subscribed to it before it noticed.
left()
{
	has_hub_but "$1" "$2" || return 1
	logged "$1" '"hub-changed".*"reason":"(silent|cut-off)"' ||
	    logged "$1" '"hub-role","is_hub":1,"subscribers":[1-9]'
}

# agree NAME...: they use the same hub, which is one of them.
agree()
{
	local name
	hub=$(hub_of "$1")
	[[ " $* " = *" $hub "* ]] || return 1
	for name in "$@"; do
		[ "$(hub_of "$name")" = "$hub" ] || return 1
	done
}

# but HUB: sets $others to all instances but this one.
but()
{
	local name
	others=()
	for name in "${running[@]}"; do
		[ "$name" = "$1" ] || others+=("$name")
	done
}

# evacuated NAME ZONE TIMES: an instance has heard of it so often.
evacuated()
{
	[ "$(grep -c "\"zone-evacuated\",\"zone\":\"$2\"" \
	    "$workdir/$1.log")" = "$3" ]
}

running=("${all[@]}")
for instance in "${all[@]}"; do
	wait_for "$instance to have a hub" has_hub_but "$instance" ""
done
wait_for "one hub for all" agree "${all[@]}"
echo "== all use one hub: $(grep -c '"hub-role","is_hub":1' \
    "$workdir/$hub.log") time it became one"

echo "== the hub stands still: the others leave it, and hear of changes"
stopped=$hub
kill -STOP "${entry_pid[$stopped]}"
but "$stopped"
for instance in "${others[@]}"; do
	wait_for "$instance to leave it" left "$instance" "$stopped"
done
ctl put/op/evacuate/z1 '{}'
for instance in "${others[@]}"; do
	wait_for "$instance to hear of the evacuation" \
	    evacuated "$instance" z1 1
	echo "order $(call "$instance" /order/1 "s-$instance" -d '{}' | tail -1)"
done
kill -CONT "${entry_pid[$stopped]}"
wait_for "it to hear, too" evacuated "$stopped" z1 1
wait_for "one hub for all" agree "${all[@]}"

echo "== the hub is killed"
killed=$hub
kill -KILL "${entry_pid[$killed]}"
but "$killed"
for instance in "${others[@]}"; do
	wait_for "$instance to notice" logged "$instance" \
	    "\"peer-lost\",\"peer\":\"$killed\""
done
running=("${others[@]}")
wait_for "one hub for the rest" agree "${running[@]}"
ctl put/op/evacuate/z2 '{}'
for instance in "${running[@]}"; do
	wait_for "$instance to hear of the second one" \
	    evacuated "$instance" z2 1
done
echo "all the others know"
