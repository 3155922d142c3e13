#!/bin/bash
# The store is silent for some seconds, is back, and drops its history. Then a
# key is taken away and a zone is evacuated: both hold in time (CONFIG, EVAC).
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

CALLS=12 # of each kind

start_site shop1,shop,z1 shop2,shop,z2
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
start_instance e1
start_instance e2
wait_for "e1 to know e2" logged e1 '"peer-joined","peer":"e2"'
# Ends the first watches of the configuration.
configure
sleep 1.5

# statuses NAME KEY PREFIX: how many calls with a key got which status.
statuses()
{
	local i
	for ((i = 0; i < CALLS; i++)); do
		curl -sS -m "$CURL_CAP" "http://${entry_caller[$1]}/check/x" \
		    -H 'Host: a.example' -H "Authorization: Token $2" \
		    -H "Attempt-Id: $3$i" -H 'Deadline-Ms: 4000' \
		    -o /dev/null -w '%{http_code}\n' 2>>"$workdir/curl.err"
	done | sort | uniq -c | awk '{ print $2 ": " $1 }'
}

# in_zone_2 PREFIX: how many of the calls reached the worker there.
in_zone_2()
{
	grep -c "^run $1[0-9]* shop2 " "$site_log"
}

ctl store/silent
sleep 5
ctl store/up
sleep 1
ctl store/forget
sleep 3.2
site_keys='"k1"'
configure
ctl put/op/evacuate/z2 1
sleep 2
for name in e1 e2; do
	echo "== $name, two seconds later: the key that is gone, another one"
	statuses "$name" k2 "gone$name"
	statuses "$name" k1 "kept$name"
	echo "in the evacuated zone: $(in_zone_2 "kept$name")"
done
