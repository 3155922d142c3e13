#!/bin/bash
# A configuration takes a service away, and then the engine of its streams
# leaves: the streams go on at another engine of that service.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
settings_entry e1
configure
start_instance e1

draft e1 d1 150 >"$workdir/d1" &
drafting=$!
wait_for "events" grep -q '^id: 5$' "$workdir/d1"
engine=$(sed -n 's/^run d1 \([a-z0-9]*\) begun$/\1/p' "$site_log")
site_version=$((site_version + 1))
ctl put/op/config "{\"version\":$site_version,\"routes\":[],
    \"services\":[{\"name\":\"shop\",\"max_conns\":100}],
    \"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
    \"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}"
wait_for "the configuration" logged e1 \
    "\"config-in-force\",\"version\":$site_version,"
ctl "worker/$engine/draining"
wait_for "a copy" logged e1 'handover-copy.*"id":"d1".*"status":200'
ctl "worker/$engine/gone"
wait "$drafting" && ended=whole || ended=cut
echo "$ended, $(event_ids "$workdir/d1"), begun $(runs d1) time"
echo "lost, as logged: $(grep -c '"response-lost"' "$workdir/e1.log")"
