#!/bin/bash
# Workers send answers whose status is none of HTTP, on connections that they
# keep: callers get a failure of the instance's own, at once and of every kind of
# route, also if another instance has forwarded it. Such a status was read as
# that of an interim response, so that callers got 504 at the end of their
# deadline, or passed on.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site linked:raw:raw1,lm,z1 linked:raw:raw2,shop,z1
usual_routes
configure
retry_slack=1000
deadline_ms=3000
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
start_instance e1
start_instance e2
knows()
{
	logged "$1" "\"peer-joined\",\"peer\":\"$2\""
}
wait_for "e1 to know e2" knows e1 e2
wait_for "e2 to know e1" knows e2 e1

# status NAME ROUTE ID BODY: what a caller gets on a route.
status()
{
	call "$1" "/$2/x" "$3" -X POST -H 'Token-Usage: 100,20' -d "$4" \
	    -o /dev/null | tail -1
}

# statuses NAME MODE: what a caller gets on each kind of route.
statuses()
{
	local route out=
	for route in draft hint order check; do
		out+=" $route $(status "$1" "$route" "$1-$route-$2" x)"
	done
	echo "$2:$out"
}

# forwards ROUTE: whether e1 forwards a request that differs from all others.
n_asked=0
forwards()
{
	local id=ask-$((++n_asked))
	status e1 "$1" "$id" "$id" >/dev/null
	logged e1 "\"request-forwarded\",\"id\":\"$id\""
}

# forwarded MODE: what a caller gets on each kind of route by way of e2. An
# instance that got a status that is none doesn't count as one that reaches the
# service until it has seen a valid one; e1 refuses meanwhile.
forwarded()
{
	local route out=
	for route in draft hint order check; do
		both status-299
		renew
		wait_for "e1 to forward /$route" forwards "$route"
		both "status-$1"
		out+=" $route $(status e1 "$route" "forwarded-$route-$1" x)"
	done
	echo "$1:$out"
}

# renew: the workers are started again, without a record of failures.
renew()
{
	local worker
	both back
	for worker in raw1 raw2; do
		wait_for_change e1 upstream-reborn "$worker"
		wait_for_change e2 upstream-reborn "$worker"
	done
}

for status in 000 099 101 600 999 0200 299 599; do
	both "status-$status"
	statuses e1 "$status"
	renew
done

echo "== forwarded by another instance"
cut e1 refuse
for status in 000 600; do
	forwarded "$status"
done
