#!/bin/bash
# Instances, most of a zone, are cut off from all upstreams, in several ways:
# the others serve their callers' requests meanwhile.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:shop1,shop,z1 linked:shop2,shop,z2 linked:lm1,lm,z1 \
    linked:lm2,lm,z2
usual_routes
configure
retry_slack=1000 # so that retries don't depend on earlier requests
entry_zone=([e1]=z1 [e2]=z1 [e3]=z1 [e4]=z2)
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
settings_entry e4 "${entry_control[e1]}"
for instance in e1 e2 e3 e4; do
	start_instance "$instance"
done
knows_all()
{
	for peer in e1 e2 e3 e4; do
		[ "$peer" = "$1" ] ||
		    logged "$1" "\"peer-joined\",\"peer\":\"$peer\"" || return 1
	done
}
for instance in e1 e2 e3 e4; do
	wait_for "$instance to know the others" knows_all "$instance"
done

# count NAME EVENT SERVICE: how often an instance has logged it.
count()
{
	grep -c "\"event\":\"$2\",\"service\":\"$3\"" "$workdir/$1.log"
}

# has_count NAME EVENT TIMES: for both services.
has_count()
{
	[ "$(count "$1" "$2" shop)" -ge "$3" ] &&
	    [ "$(count "$1" "$2" lm)" -ge "$3" ]
}

# poke NAME: requests that may hang, so that the instance notices.
poke()
{
	call "$1" /check/x "p$((++n_pokes))" -m 3 >/dev/null &
	pids+=($!)
	call "$1" /hint/x "p$((++n_pokes))" -m 3 -X POST \
	    -H 'Token-Usage: 100,8' >/dev/null &
	pids+=($!)
}
n_pokes=0

# ask_all NAME TAG: one request of each kind; their statuses and what came.
ask_all()
{
	echo "check: $(call "$1" /check/x "$2-c" | tr '\n' ' ')"
	echo "order: $(call "$1" /order/x "$2-o" -X POST -d 'two sheets' |
	    tr '\n' ' '), run $(runs "$2-o") times"
	call "$1" /hint/x "$2-h" -X POST -H 'Token-Usage: 100,40' \
	    >"$workdir/hint"
	echo "hint: $(tail -1 "$workdir/hint"), $(event_ids "$workdir/hint")"
	draft "$1" "$2-d" 30 >"$workdir/draft"
	echo "draft: $(tail -1 "$workdir/draft"), $(event_ids "$workdir/draft"), run $(runs "$2-d") times"
}

round=0
for mode in silent reset refuse; do
	round=$((round + 1))
	echo "== $mode: two of three instances of a zone are cut off"
	cut e1 "$mode"
	cut e2 "$mode"
	poke e1
	poke e2
	for instance in e1 e2; do
		wait_for "$instance to notice" \
		    has_count "$instance" service-cut-off "$round"
	done
	for instance in e1 e2; do
		ask_all "$instance" "$mode-$instance"
	done
	echo "an unknown key: $(status "${entry_caller[e1]}/check/x" \
	    -H 'Host: a.example' -H 'Authorization: Token nobody' \
	    -H "Attempt-Id: $mode-k")"
	cut e1 normal
	cut e2 normal
	for instance in e1 e2; do
		wait_for "$instance to recover" \
		    has_count "$instance" service-reached-again "$round"
	done
	n_before=$(grep -c '"request-forwarded"' "$workdir/e1.log")
	call_is e1 /check/x "$mode-after" 200 && echo "healed: 200"
	echo "forwarded since: $(($(grep -c '"request-forwarded"' \
	    "$workdir/e1.log") - n_before))"
done

echo "== a whole zone is cut off, and instances of another one help"
for instance in e1 e2 e3; do
	cut "$instance" silent
	poke "$instance"
done
for instance in e1 e2 e3; do
	wait_for "$instance to notice" has_count "$instance" service-cut-off \
	    "$([ "$instance" = e3 ] && echo 1 || echo 4)"
done
for instance in e1 e2 e3; do
	echo "$instance: $(call "$instance" /check/x "zone-$instance" | tail -1)"
done
echo "served by another zone: $(grep -c '"forward-received","from":"e[123]".*"taken"' \
    "$workdir/e4.log" | awk '{ print ($1 >= 3 ? "yes" : $1) }')"

echo "== a caller that leaves is felt at the upstream"
start_get "$workdir/gone" "${entry_caller[e1]}/draft/x" \
    -H 'Host: a.example' -H 'Authorization: Token k1' -H 'Attempt-Id: gone' \
    -H 'Token-Usage: 100,4000' -H 'Deadline-Ms: 20000' -X POST
wait_for "its first events" grep -q '^id: 3' "$workdir/gone"
kill "$call"
wait "$call" 2>/dev/null
wait_for "the helper to end it" \
    logged e4 '"request-ended","id":"gone".*"outcome":"caller-gone"'
echo "ended"

echo "== the helper leaves, and its process ends before the answer"
settings_entry e5 "${entry_control[e1]}"
start_instance e5
for instance in e1 e2 e3; do
	wait_for "$instance to know e5" logged "$instance" \
	    '"peer-joined","peer":"e5"'
done
for worker in lm1 lm2; do
	ctl "worker/$worker/mute"
done
draft e1 left 5 >"$workdir/left" &
left=$!
pids+=("$left")
wait_for "the draft to run" bash -c "[ \$(curl -s '$site/ctl/runs/left') = 1 ]"
helper=$(grep '"request-forwarded","id":"left"' "$workdir/e1.log" |
    sed 's/.*"to":"\(e[45]\)".*/\1/')
kill -TERM "${entry_pid[$helper]}"
wait "$left"
echo "draft: $(tail -1 "$workdir/left"), run $(runs left) times"
for worker in lm1 lm2; do
	ctl "worker/$worker/well"
done
wait "${entry_pid[$helper]}"
start_instance "$helper"

echo "== the helper is killed: a stream goes on"
sleep 1.5 # some heartbeats
start_get "$workdir/long" "${entry_caller[e1]}/hint/x" \
    -H 'Host: a.example' -H 'Authorization: Token k1' -H 'Attempt-Id: long' \
    -H 'Token-Usage: 100,400' -H 'Deadline-Ms: 20000' -X POST
wait_for "its first events" grep -q '^id: 3' "$workdir/long"
helper=$(grep '"request-forwarded","id":"long"' "$workdir/e1.log" |
    sed 's/.*"to":"\(e[45]\)".*/\1/')
kill -KILL "${entry_pid[$helper]}"
wait "$call" 2>/dev/null
event_ids "$workdir/long"
echo "times forwarded: $(grep -c '"request-forwarded","id":"long"' "$workdir/e1.log")"
