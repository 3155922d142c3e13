#!/bin/bash
# An upstream turns a request away and asks for a pause: this instance sends it
# nothing until the end, and refuses at once what it can't serve before.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
start_instance e1
start_instance e2

# reached: how many requests have reached the upstream.
reached()
{
	grep -cE '^(run|shed) ' "$site_log"
}

# statuses NAME COUNT: the different statuses of so many requests.
statuses()
{
	local i
	for ((i = 0; i < $2; i++)); do
		call "$1" /order/1 "o$((++n_orders))" -d '{}' | tail -1
	done | sort -u | paste -sd ' '
}
n_orders=0

# serves: whether a request is served at e1.
serves()
{
	[ "$(statuses e1 1)" = 200 ]
}

echo "== one pause of some seconds"
ctl pause 7.5
ctl worker/shop1/shed
echo "turned away: $(call e1 /order/1 first -d '{}' | tail -1)"
logged e1 '"upstream-asks-pause","id":"first","upstream":"shop1","for_ms":7500,"outcome":"paused"' &&
    echo "logged"
ctl worker/shop1/well
before=$(reached)
echo "at the same instance: $(statuses e1 5)," \
    "$(($(reached) - before)) reached it"
call e1 /order/1 head -d '{}' -D "$workdir/head" >/dev/null
retry=$(sed -n 's/^Retry-After: *\([0-9]*\).*/\1/Ip' "$workdir/head")
[ "$retry" -ge 1 ] && [ "$retry" -le 11 ] && echo "to come back after the pause"
logged e1 '"outcome":"upstreams-paused","verdict":"not-run","attempts":0' &&
    echo "not run"
echo "at the other one: $(statuses e2 3)"
wait_for "the end of the pause" serves
echo "after the pause: served"

echo "== values that are no pause"
for value in soon -3 0 "" 1,2 nan "Fri, 04 Dec 2026 10:00:00 GMT"; do
	ctl pause "$value"
	ctl worker/shop1/shed
	statuses e1 1 >/dev/null
	ctl worker/shop1/well
	sleep 0.2 # longer than an upstream counts as full
	echo "'$value': $(statuses e1 1)"
done

echo "== a pause without end is bounded; a new incarnation ends it"
ctl pause 99999999999999999999
ctl worker/shop1/shed
statuses e1 1 >/dev/null
ctl worker/shop1/well
echo "paused: $(statuses e1 2)"
ctl worker/shop1/leave
ctl worker/shop1/back
wait_for "it to serve" serves
echo "serves"
