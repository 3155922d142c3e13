#!/bin/bash
# Entries of another writer, and replies of the store, that can't be read: the
# instance goes on serving and following the list.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1 shop2,shop,z1
usual_routes
configure
settings_entry e1
start_instance e1
shopt -s lastpipe # the counters below are those of this shell
n_odd=0
n_calls=0

# count PATTERN: how many lines of the log are like that.
count()
{
	grep -cE "$1" "$workdir/e1.log"
}

# counted PATTERN NUMBER: whether there are more than so many such lines.
counted()
{
	[ "$(count "$1")" -gt "$2" ]
}

# nested LEVELS: JSON of so many arrays.
nested()
{
	head -c "$1" /dev/zero | tr '\0' '['
	head -c "$1" /dev/zero | tr '\0' ']'
}

# entry [FIELD VALUE]: the entry of a sound worker, with another field or one
# more.
entry()
{
	local -A fields=([service]='"shop"' [address]='"127.0.0.1:1"'
		[zone]='"z1"' [version]='"v1"' [slots]=24 [state]='"ready"'
		[cold_left_ms]=0 [sequence]=1 [born]=1765000000000)
	local name separator='{'
	[ $# = 0 ] || fields[$1]=$2
	for name in "${!fields[@]}"; do
		printf '%s"%s":%s' "$separator" "$name" "${fields[$name]}"
		separator=,
	done
	printf '}'
}

# follows WHAT: says whether the instance lives, serves and follows the list.
follows()
{
	local removed='"upstream-removed","upstream":"shop2"' n
	local added='"upstream-added","upstream":"shop2"'

	kill -0 "${entry_pid[e1]}" || fail "$1: the instance has ended"
	n=$(count "$removed")
	ctl worker/shop2/leave
	wait_for "$1: shop2 to be gone" counted "$removed" "$n"
	call_is e1 /order/1 "a$((++n_calls))" 200 || fail "$1: not served"
	n=$(count "$added")
	ctl worker/shop2/back
	wait_for "$1: shop2 again" counted "$added" "$n"
	call_is e1 /order/1 "a$((++n_calls))" 200 || fail "$1: not served"
	echo "$1: follows"
}

# odd WHAT <TEXT: another writer's entry.
odd()
{
	local name=odd$((++n_odd))
	cat >"$workdir/value"
	ctl "put/servers/$name" "@$workdir/value"
	wait_for "$1 to be read" logged e1 "upstream-entry-unreadable.*\"$name\""
	follows "$1"
}

echo "== entries that can't be read"
nested 100000 | odd "nested deeply"
entry models "$(nested 30000)" | odd "a field nested deeply"
printf '\377\376\001{' | odd "no text"
printf '{"service":"shop"' | odd "cut off"
entry slots '"24"' | odd "a text for a number"
entry state '"asleep"' | odd "an unknown state"

echo "== numbers that are too large"
for field in slots sequence cold_left_ms born; do
	for number in 1e30 -5 99999999999999999999; do
		entry $field $number | odd "$field $number"
	done
done

echo "== ports"
for number in 0 70000 -1; do
	entry address "\"127.0.0.1:$number\"" | odd "port $number"
done

echo "== names"
entry service "\"$(nested 30000)\"" | odd "a long name"
entry service '"shop\nshop"' | odd "a line feed"
entry service '"shop\u0000"' | odd "a NUL byte"

echo "== large ones"
head -c 1000000 /dev/zero | tr '\0' '[' | odd "1 MB"

echo "== over the entry of a worker, which writes it again"
n=$(count '"upstream-removed","upstream":"shop1"')
entry slots 1e30 >"$workdir/value"
ctl put/servers/shop1 "@$workdir/value"
wait_for "shop1 to be gone" \
    counted '"upstream-removed","upstream":"shop1"' "$n"
n=$(count '"upstream-added","upstream":"shop1"')
ctl worker/shop1/ready
wait_for "shop1 again" counted '"upstream-added","upstream":"shop1"' "$n"
follows "written again"

echo "== the address of a worker, for a service that isn't named"
n=$(count '"upstream-removed","upstream":"shop1"')
# address_of WORKER: its last address, as logged.
address_of()
{
	sed -n "/\"upstream-added\",\"upstream\":\"$1\"/s/.*\"address\":\"\([^\"]*\).*/\1/p" \
	    "$workdir/e1.log" | tail -1
}
for worker in shop1 shop2; do
	entry address "\"$(address_of $worker)\"" |
	    sed 's/"shop"/"none"/' >"$workdir/value"
	grep -q '"127.0.0.1:[0-9]' "$workdir/value" || fail "no address"
	ctl "put/servers/none-$worker" "@$workdir/value"
done
follows "addresses of both"
counted '"upstream-removed","upstream":"shop1"' "$n" && echo "WRONG: removed"

echo "== names of items"
long=$(head -c 180 /dev/zero | tr '\0' n)
entry >"$workdir/value"
ctl "put/servers/$long" "@$workdir/value"
ctl "put/op/evacuate/$long" '{}'
follows "a long name of an item"

echo "== changes that are longer than a reply may be"
ctl store/busy
head -c 1000000 /dev/zero | tr '\0' x >"$workdir/value"
for ((i = 0; i < 14; i++)); do
	ctl "put/servers/large$i" "@$workdir/value"
done
ctl store/up
follows "14 MB"

echo "== replies that can't be read"
for mode in garbled deep; do
	n=$(count '"store-call-failed"')
	ctl "store/$mode"
	wait_for "a failed call" counted '"store-call-failed"' "$((n + 2))"
	call_is e1 /order/1 "a$((++n_calls))" 200 && echo "$mode: served"
	ctl store/up
	follows "$mode"
done
ctl store/garbled-watches
follows "watches that can't be read"
ctl store/up
follows "watches that can be read"

echo "== lists that begin with a page of malformed items only"
for mode in odd-pages keyless-pages; do
	n=$(count '"upstream-removed","upstream":"shop1"')
	n_failed=$(count '"reason":"page-without-key"')
	n_lists=$(count '"store-history-lost"')
	ctl "store/$mode"
	ctl store/forget
	wait_for "$mode: a new list" counted '"store-history-lost"' "$n_lists"
	[ "$mode" = odd-pages ] ||
	    wait_for "$mode: no list" counted '"reason":"page-without-key"' "$n_failed"
	[ "$mode" = keyless-pages ] || follows "$mode"
	call_is e1 /order/1 "a$((++n_calls))" 200 || fail "$mode: not served"
	ctl store/up
	follows "$mode, ended"
	counted '"upstream-removed","upstream":"shop1"' "$n" &&
	    echo "WRONG: removed"
done

echo "== no such entry was used; another instance gets the list"
logged e1 '"upstream-added","upstream":"(odd|large|nn)' && echo "WRONG: used"
settings_entry e2 "${entry_control[e1]}"
start_instance e2
call e2 /order/1 b1 -d '{}' | tail -1
