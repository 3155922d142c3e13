#!/bin/bash
# An engine answers with a good head, and then with bytes without an end: none
# is kept in memory, the connection is closed, and other requests go on. The
# same with a caller that doesn't read, and one that leaves.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

MEMORY_KB=16384 # that may be added

start_site raw:raw1,lm,z1 shop1,shop,z1
usual_routes
configure
deadline_ms=3000
settings_entry e1
start_instance e1

# peak: the most memory that the instance has had, in kilobytes.
peak()
{
	awk '/^VmHWM/ { print $2 }' "/proc/${entry_pid[e1]}/status"
}

# answers_well: whether the engine is used again after an ejection.
answers_well()
{
	ctl worker/raw1/well
	draft e1 "w$((++n_calls))" 5 | grep -q '^id: 5$'
}
n_calls=0

# closed MODE COUNT: whether so many connections were closed in that mode.
closed()
{
	[ "$(grep -c "^raw raw1 $1 closed" "$site_log")" -ge "$2" ]
}

# go_on: whether a request of another service is served.
go_on()
{
	[ "$(call e1 /order/x "o$((++n_calls))" -X POST | tail -1)" = 200 ] &&
	    echo "others go on" || echo "others don't go on"
}

# silent_caller ID: sends a request and doesn't read; its connection is fd 3.
silent_caller()
{
	exec 3<>"/dev/tcp/${entry_caller[e1]%:*}/${entry_caller[e1]#*:}"
	printf 'POST /draft/x HTTP/1.1\r\nHost: a.example\r\n%s\r\n%s\r\n%s\r\n%s\r\n%s\r\n\r\n' \
	    'Authorization: Token k1' "Attempt-Id: $1" 'Deadline-Ms: 3000' \
	    'Token-Usage: 100,20' 'Content-Length: 0' >&3
}

wait_for "the engine" answers_well
start=$(peak)

# answer_with MODE: a request gets an answer in that mode.
answer_with()
{
	local caller ended others
	ctl "worker/raw1/$1"
	draft e1 "s-$1" 5 -o /dev/null >"$workdir/status" &
	caller=$!
	sleep 0.3
	others=$(go_on)
	wait "$caller" && ended="whole" || ended="cut"
	wait_for "$1 to be closed" closed "$1" 1
	echo "$1: $(tail -1 "$workdir/status") $ended, $others"
}

for mode in endless-body endless-error endless-full endless-extension \
    endless-size endless-trailer endless-extra; do
	answer_with "$mode"
	wait_for "the engine after $mode" answers_well
done

for mode in endless-body endless-error endless-trailer; do
	ctl "worker/raw1/$mode"
	silent_caller "n-$mode"
	sleep 1
	others=$(go_on)
	exec 3>&-
	wait_for "$mode to be closed" closed "$mode" 2
	echo "$mode, a caller that doesn't read and then leaves: $others"
	wait_for "the engine after $mode" answers_well
done

echo "== reports, while a generation runs"
ctl worker/raw1/held
draft e1 held 20 -o /dev/null >/dev/null &
pids+=($!)
wait_for "the generation" logged e1 '"request-placed","id":"held"'
sleep 0.3
ctl worker/raw1/endless-report
wait_for "reports to be given up" closed endless-report 2
go_on

echo "== the address seems to be another's, so that it isn't used again"
answer_with endless-misdirected
[ $(($(peak) - start)) -le "$MEMORY_KB" ] && echo "memory is bounded" ||
    echo "memory grew from $start to $(peak)"
kill -0 "${entry_pid[e1]}" && echo "the instance runs"
