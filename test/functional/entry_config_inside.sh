#!/bin/bash
# The configuration changes while requests are inside an instance, at their
# upstream or on their way there: each of them gets a whole answer.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1 lm1,lm,z1 lm2,lm,z1
usual_routes
all_routes=$site_routes
all_services='{"name":"lm","max_conns":200,"engine":{"slots":24,
    "kv_capacity":34000,"kv_bytes":18432,"link_mbps":2700,"stride":4,
    "handle_s":5,"moves":true}},{"name":"shop","max_conns":100}'

# put ROUTES SERVICES KEYS IDLE_MS: writes a configuration.
put()
{
	site_version=$((site_version + 1))
	ctl put/op/config "{\"version\":$site_version,\"routes\":[$1],
	    \"services\":[$2],\"limits\":{\"max_header_bytes\":8192,
	    \"max_body_bytes\":65536,\"header_timeout_ms\":3000,
	    \"idle_timeout_ms\":$4},
	    \"tenants\":[{\"name\":\"t1\",\"api_keys\":[$3]}]}"
}

put_usual()
{
	put "$all_routes" "$all_services" '"k1","k2"' 15000
	wait_for "the usual configuration" logged e1 \
	    "\"config-in-force\",\"version\":$site_version,"
}

settings_entry e1
settings_entry e2 "${entry_control[e1]}"
put "$all_routes" "$all_services" '"k1","k2"' 15000
start_instance e1
start_instance e2
wait_for "the instances to know each other" logged e1 '"peer-joined"'

# start ID COMMAND...: a request in the background.
start()
{
	"${@:2}" >"$workdir/$1" &
	asked[$1]=$!
	order+=("$1")
}

# fill TAG: requests of all kinds; some run, some wait for a place.
fill()
{
	local tag=$1
	declare -gA asked=()
	order=()
	start "$tag-draft" draft e1 "$tag-draft" 80
	start "$tag-hint" call e1 /hint/x "$tag-hint" -X POST \
	    -H 'Token-Usage: 100,320'
	wait_for "events of $tag" grep -q '^id: 2$' "$workdir/$tag-hint"
	ctl worker/shop1/hold
	start "$tag-order" call e1 /order/x "$tag-order" -X POST -d sheet
	start "$tag-check" call e1 /check/x "$tag-check"
	for n in 1 2 3; do
		start "$tag-large$n" call e1 /draft/x "$tag-large$n" -X POST \
		    -H 'Token-Usage: 30000,320'
	done
	wait_for "one of $tag to wait" logged e1 "request-waits\",\"id\":\"$tag-large"
	start "$tag-again" call e1 /hint/x "$tag-again" -X POST \
	    -H 'Token-Usage: 100,320' -H "Resumes: $tag-gone" \
	    -H 'Last-Event-Id: 3'
	wait_for "$tag-again inside" logged e1 "\"id\":\"$tag-again\""
}

# outcomes: whether each request got a whole answer.
outcomes()
{
	local id rc
	for id in "${order[@]}"; do
		wait "${asked[$id]}"
		rc=$?
		[ "$rc" = 0 ] && grep -qE '^[1-5][0-9][0-9]$' "$workdir/$id" &&
		    echo "$id: answered" || echo "$id: LOST ($rc)"
	done
}

change()
{
	echo "== $1"
	fill "$2"
	put "${@:3}"
	outcomes
	echo "those that waited: $(waited_outcomes "$2")"
	put_usual
}

# waited_outcomes TAG: what came of the requests that waited for a place.
waited_outcomes()
{
	local id
	for id in $(grep -o "request-waits\",\"id\":\"$1-[a-z0-9]*" \
	    "$workdir/e1.log" | sed 's/.*"//' | sort -u); do
		grep "request-ended.*\"id\":\"$id\"" "$workdir/e1.log" |
		    grep -o '"outcome":"[a-z-]*"' | sed 's/.*://'
	done | sort -u | paste -sd ' '
}

put_usual
change "all routes go" a '' "$all_services" '"k1","k2"' 15000
change "the routes move to another service" b \
    "$(echo "$all_routes" | sed 's/"service":"[a-z]*"/"service":"none"/g')" \
    "$all_services,{\"name\":\"none\"}" '"k1","k2"' 15000
change "all services go" c "$all_routes" '' '"k1","k2"' 15000
change "the key goes" d "$all_routes" "$all_services" '"k2"' 15000
change "the timeouts shrink" e \
    "$(echo "$all_routes" | sed 's/"timeout_ms":[0-9]*/"timeout_ms":50/g')" \
    "$all_services" '"k1","k2"' 15000
change "the idle timeout shrinks" f "$all_routes" "$all_services" \
    '"k1","k2"' 50
echo "lost, as logged: $(grep -c '"response-lost"' "$workdir/e1.log")"
