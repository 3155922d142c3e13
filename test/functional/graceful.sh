#!/bin/bash
# An instance that leaves cuts nothing, takes no new connection, and what it
# knew of orders stays known.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"

# again INSTANCE ID: a repeat of an order that has run through another one.
again()
{
	local answer
	answer=$(ask_order "$1" "$2")
	case $answer in
	*' may-have-run '* | *' ran '* | *' ran') echo "known" ;;
	*) echo "WRONG: $answer" ;;
	esac
	[ "$(runs "$2")" = 1 ] || echo "WRONG: $2 ran $(runs "$2") times"
}

WORK_MS=1500
MEMORY_TOKENS=200000
start_fleet

echo "== streams, whole answers and an order under way at the one that leaves"
calls=()
for i in 1 2 3; do
	generate e1 "long $i length:500" true -N >"$workdir/stream.$i" &
	calls+=($!)
	generate e1 "whole $i length:400" false >"$workdir/whole.$i" &
	calls+=($!)
done
ask_order e1 slow >"$workdir/order" &
calls+=($!)
wait_for "the order to run" ran slow
for i in 1 2 3; do
	wait_for "stream $i" grep -q data: "$workdir/stream.$i"
done
exec 5<>"/dev/tcp/${caller_of[e1]%:*}/${caller_of[e1]#*:}"
printf 'GET /x HTTP/1.1\r\nHost: a\r\n\r\n' >&5
read -r -u 5 line
kill -STOP "${pid_of[e1]}"
for fd in 6 7 8; do
	eval "exec $fd<>/dev/tcp/${caller_of[e1]%:*}/${caller_of[e1]#*:}"
	printf 'GET /waits HTTP/1.0\r\n\r\n' >&$fd
done
kill -TERM "${pid_of[e1]}"
kill -CONT "${pid_of[e1]}"
wait_for "leaving" json_is e1 /status draining true
echo "connection refused: curl says $(curl -s -m 5 \
    "http://${caller_of[e1]}/" -o /dev/null; echo $?)"
kill -TERM "${pid_of[e1]}"
kill -INT "${pid_of[e1]}"

echo "== connections that waited to be accepted"
for fd in 6 7 8; do
	timeout 5 head -1 <&$fd | tr -d '\r'
	eval "exec $fd>&-"
done

echo "== a connection of before: refused at once, told to close"
body='{"model":"m1","prompt":"x"}'
printf 'POST /v1/completions HTTP/1.1\r\nHost: a\r\n%s\r\n%s: %d\r\n\r\n%s' \
    'Authorization: Bearer clinic-1' Content-Length ${#body} "$body" >&5
timeout 5 cat <&5 | tr -d '\r' |
    sed -n '/HTTP\/1.1 503/,$p' | grep -io \
    'HTTP/1.1 503\|^X-Verdict.*\|^Retry-After.*\|^Connection.*' | sort
exec 5>&-

echo "== nothing was cut"
wait "${calls[@]}"
cat "$workdir/order"
for i in 1 2 3; do
	tokens <"$workdir/stream.$i" | wc -w
	grep -c DONE "$workdir/stream.$i"
	grep -o ' w[0-9]*' "$workdir/whole.$i" | wc -l
done
wait "${pid_of[e1]}"
echo "left with status $?"

echo "== what it knew stays known, listed or not"
again e2 slow
list_members e2 e3
again e3 slow
wait_for "the list" json_is e2 /status members_revision 2
again e2 slow

echo "== replaced one after another while orders go on"
list_members e1 e2 e3
start_instance e1
wait_voting e1 e2 e3
for name in e2 e3 e1; do
	other=e1
	[ $name = e1 ] && other=e2
	order $other "during-$name" >"$workdir/during" &
	during=$!
	wait_for "the order" ran "during-$name"
	kill_program $name TERM
	start_instance $name
	wait_up $name
	wait $during
	again $other "during-$name"
	again $name "during-$name"
	wait_voting e1 e2 e3
done
check_logs
