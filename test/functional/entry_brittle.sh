#!/bin/bash
# Plain services are brittle: a worker that must turn more than two requests away
# in a second falls over. A burst at all instances makes none of them fall over,
# and is served.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1 shop2,shop,z1 shop3,shop,z1
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

# burst NAME TAG COUNT: so many requests at once; how many got which status.
burst()
{
	local i
	for ((i = 0; i < $3; i++)); do
		echo "url = \"http://${entry_caller[$1]}/check/$i\""
		echo "header = \"Host: a.example\""
		echo "header = \"Authorization: Token k1\""
		echo "header = \"Attempt-Id: $2-$1-$i\""
		echo 'header = "Deadline-Ms: 20000"'
		echo 'output = "/dev/null"'
		echo 'write-out = "%{http_code}\n"'
		echo 'next'
	done | sed '$d' >"$workdir/burst.$1"
	curl -s --parallel --parallel-immediate --parallel-max "$3" \
	    -K "$workdir/burst.$1" >"$workdir/burst.$1.out" 2>/dev/null
}

# bursts TAG COUNT: at all instances at once.
bursts()
{
	local instance waiting=()
	for instance in e1 e2 e3; do
		burst "$instance" "$1" "$2" &
		waiting+=($!)
	done
	wait "${waiting[@]}"
	echo "statuses: $(cat "$workdir"/burst.*.out | sort -u | tr '\n' ' ')"
	echo "fell over: $(grep -c '^fell' "$site_log")"
}

echo "== the workers say that they are brittle"
ctl brittle/2
echo "e1: $(call e1 /check/x first | tail -1)"
for instance in e1 e2 e3; do
	wait_for "$instance to know" logged "$instance" '"event":"service-brittle"'
done
echo "told by e1: $(cat "$workdir"/e[23].log |
    grep -c '"event":"service-brittle".*another-instance')"

echo "== a burst of three times the places, at all instances"
bursts a 18
bursts b 18

echo "== they are well again"
ctl brittle/none
sleep 4 # longer than the statement holds
bursts c 18
