#!/bin/bash
# A request crashes each worker that runs it, under new ids, at all instances:
# after few crashes no instance sends it on, and the requests beside it are
# served.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1 shop2,shop,z1 shop3,shop,z1 shop4,shop,z1 \
    lm1,lm,z1 lm2,lm,z1 lm3,lm,z1
usual_routes
configure
# Each request beside a crash may be sent again, however many there are.
retry_slack=100
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
for instance in e1 e2 e3; do
	start_instance "$instance"
done
wait_for "all instances to know each other" logged e3 '"peer-joined","peer":"e2"'

# ask NAME PATH ID BODY [CURL OPTION...]: a request with a body; its status.
ask()
{
	call "$1" "$2" "$3" -X POST -d "$4" -o /dev/null "${@:5}" | tail -1
}

# n_quarantined NAME COUNT: whether an instance has logged so many rules.
n_quarantined()
{
	[ "$(grep -c '"event":"request-quarantined"' "$workdir/$1.log")" -ge "$2" ]
}

# all_quarantined COUNT
all_quarantined()
{
	n_quarantined e1 "$1" && n_quarantined e2 "$1" && n_quarantined e3 "$1"
}

# workers_are_back: crashed workers start again after a second.
workers_are_back()
{
	sleep 1.5
}

# crashed_runs ID...: how often requests were begun, in all.
crashed_runs()
{
	local id n=0
	for id in "$@"; do
		n=$((n + $(runs "$id")))
	done
	echo "$n"
}

# ask_hot NAME: asks for the same thing all the time; the statuses.
ask_hot()
{
	local i
	for ((i = 0; i < 1000; i++)); do
		[ ! -e "$workdir/enough" ] || break
		ask "$1" /check/hot "h-$1-$i" 'the hot one'
	done
}
hot=()

echo "== a plain request is retried by its instance, then by its caller"
ctl crashing-body/deadly
echo "e1: $(ask e1 /check/x c1 'a deadly one')"
echo "rules after two crashes: $(cat "$workdir"/e?.log |
    grep -c '"event":"request-quarantined"')"
echo "e2, under another key: $(ask e2 /check/x c2 'a deadly one' \
    -H 'Authorization: Token k2')"
wait_for "rules" all_quarantined 1
echo "e3: $(ask e3 /check/x c3 'a deadly one')"
call e3 /check/x c4 -X POST -d 'a deadly one' -D "$workdir/head" >/dev/null
echo "times to come back: $(grep -ci '^retry-after' "$workdir/head")"
echo "crashes: $(crashed_runs c1 c2 c3 c4)"

echo "== another body, another path"
workers_are_back
echo "another body: $(ask e2 /check/x c5 'a sound one')"
echo "another path: $(ask e2 /check/y c6 'a sound one')"

echo "== an instance that is restarted learns of it"
kill -KILL "${entry_pid[e3]}"
wait "${entry_pid[e3]}" 2>/dev/null
start_instance e3
wait_for "a rule at e3" n_quarantined e3 2
echo "e3: $(ask e3 /check/x c7 'a deadly one'), begun $(runs c7) times"

echo "== a request that must run once, beside one that is asked all the time"
for instance in e1 e2 e3; do
	ask_hot "$instance" >"$workdir/hot.$instance" &
	pids+=($!)
	hot+=($!)
done
wait_for "the hot one to be served" grep -q 200 "$workdir/hot.e3"
echo "e1: $(ask e1 /order/x o1 'a deadly one')"
echo "e2: $(ask e2 /order/x o2 'a deadly one')"
workers_are_back # of four, two serve the hot one meanwhile
echo "e3: $(ask e3 /order/x o3 'a deadly one')"
wait_for "rules" all_quarantined 2
echo "e1: $(ask e1 /order/x o5 'a deadly one'), begun $(runs o5) times"
touch "$workdir/enough"
wait "${hot[@]}"
echo "the hot one: $(sort -u "$workdir"/hot.e?)"
workers_are_back # a crash counts if any worker is left
echo "== a generation"
echo "e1: $(draft e1 g1 5 -d 'a deadly one' | tail -1)"
echo "e2: $(draft e2 g2 5 -d 'a deadly one' | tail -1)"
echo "e3: $(draft e3 g3 5 -d 'a deadly one' | tail -1)"
wait_for "rules" all_quarantined 3
echo "e1: $(draft e1 g4 5 -d 'a deadly one' | tail -1), begun $(runs g4) times"
workers_are_back
echo "another one: $(draft e3 g5 5 -d 'a sound one' | tail -1)"

echo "== an instance that stood still takes an old report for no new crash"
workers_are_back
kill -STOP "${entry_pid[e3]}"
echo "e1: $(ask e1 /order/once o4 'a deadly one')"
wait_for "the crash" logged e1 'upstream-cut-at-start","id":"o4"'
sleep 2.5 # longer than reports of one crash may differ
kill -CONT "${entry_pid[e3]}"
wait_for "e3 to notice" logged e3 '"peers-stalled"'
sleep 1.5 # some heartbeats
fingerprint=$(grep -m1 '"id":"o4".*"fingerprint"' "$workdir/e1.log" |
    sed 's/.*"fingerprint":"\([0-9a-f]*\)".*/\1/')
echo "rules after one crash: $(cat "$workdir"/e?.log |
    grep -c "\"event\":\"request-quarantined\",\"fingerprint\":\"$fingerprint")"

echo "== it no longer crashes workers: a trial lifts the rule everywhere"
ctl crashing-body/none
trial_passes()
{
	for instance in e1 e2 e3; do
		ask "$instance" /check/x "t$((++n_tries))" 'a deadly one' \
		    >/dev/null
	done
	for instance in e1 e2 e3; do
		logged "$instance" '"request-quarantine-lifted"' || return 1
	done
}
n_tries=0
wait_for "a trial" trial_passes
for instance in e1 e2 e3; do
	echo "$instance: $(ask "$instance" /check/x "l-$instance" 'a deadly one')"
done
