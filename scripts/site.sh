# Functions that start the stand-in of the users' platform and entry instances on
# loopback, for the functional tests. Sourced after test/functional/lib.sh.

declare -A entry_zone entry_caller entry_ready entry_control entry_metrics entry_pid
site_version=1
retry_slack=10
hub_min=40
site_routes=
n_entries=0
fleet_ports=

# start_site ID,SERVICE,ZONE...: the store and workers; sets $site and
# $site_log. With the prefix "linked:" a worker has a proxy in front of it,
# which can cut instances off: see cut().
start_site()
{
	local specs=() spec
	free_port
	site=127.0.0.1:$port
	site_port=$port
	for spec in "$@"; do
		free_port
		spec+=,$port
		if [[ $spec = linked:* ]]; then
			free_port
			spec+=,$port
		fi
		specs+=("$spec")
	done
	run_program "$BINDIR/site" "$site_port" "${specs[@]}"
	site_log=$workdir/$program.log
	wait_for "the site" grep -q '^ready' "$site_log"
}

# cut NAME MODE: cuts an instance off from all workers with a proxy (silent,
# reset, refuse), or ends this (normal).
cut()
{
	ctl "cut/${entry_caller[$1]%:*}/$2"
}

# ctl PATH [BODY]: sends a control call of the test to the stand-in.
ctl()
{
	get "$site/ctl/$1" -d "${2:-}"
}

# route NAME PREFIX KIND SERVICE EXTRA: adds a route to the next configuration.
route()
{
	[ -z "$site_routes" ] || site_routes+=,
	site_routes+="{\"name\":\"$1\",\"host\":\"a.example\",\"prefix\":\"$2\",
	    \"route_kind\":\"$3\",\"service\":\"$4\",\"priority\":0,
	    \"target_latency_ms\":1500,\"target_gap_ms\":180$5}"
}

# configure: writes the routes as the next version of the configuration.
configure()
{
	site_version=$((site_version + 1))
	ctl put/op/config "{\"version\":$site_version,
	    \"routes\":[$site_routes],
	    \"services\":[{\"name\":\"lm\",\"max_conns\":200,\"cold_per_s\":20,
	    \"engine\":{\"slots\":24,\"kv_capacity\":34000,\"kv_bytes\":18432,
	    \"link_mbps\":2700,\"stride\":4,\"handle_s\":5,\"moves\":true}},
	    {\"name\":\"shop\",\"max_conns\":100}],
	    \"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,
	    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
	    \"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"]}]}"
}

# usual_routes: adds one route of each kind.
usual_routes()
{
	route draft /draft/ streaming lm \
	    ',"timeout_ms":30000,"max_attempts":1,"sticky":true'
	route hint /hint/ streaming lm \
	    ',"timeout_ms":6000,"max_attempts":2,"sticky":true,"resumable":true'
	route order /order/ non_idempotent shop \
	    ',"timeout_ms":2000,"max_attempts":1'
	route check /check/ idempotent shop \
	    ',"timeout_ms":2000,"max_attempts":2'
}

# settings_entry NAME [SEEDS]: writes the instance's settings. Each instance
# has an address of its own on loopback; the ports are the same at all.
settings_entry()
{
	local name=$1 p
	if [ -z "$fleet_ports" ]; then
		for p in caller ready control metrics peer; do
			free_port
			eval "${p}_port=$port"
		done
		fleet_ports=set
	fi
	n_entries=$((n_entries + 1))
	entry_ip=127.0.1.$n_entries
	entry_caller[$name]=$entry_ip:$caller_port
	entry_ready[$name]=$entry_ip:$ready_port
	entry_control[$name]=$entry_ip:$control_port
	entry_metrics[$name]=$entry_ip:$metrics_port
	cat >"$workdir/$name.json" <<-END
	{
		"instance": "$name", "zone": "${entry_zone[$name]:-z1}",
		"listen": {
			"caller": "${entry_caller[$name]}",
			"ready": "${entry_ready[$name]}",
			"control": "${entry_control[$name]}",
			"peer_port": $peer_port,
			"metrics_port": ${entry_metrics[$name]#*:}
		},
		"seeds": "${2:-}",
		"store": { "address": "$site" },
		"upstreams": { "source": "$entry_ip" },
		"retries": { "slack": $retry_slack },
		"hubs": { "min_instances": $hub_min },
		"leaving": { "grace_ms": 4000 }
	}
	END
}

# start_instance NAME: runs it and waits until it is ready.
start_instance()
{
	"$BINDIR/godwitvale" entry --settings "$workdir/$1.json" \
	    >>"$workdir/$1.log" 2>>"$workdir/$1.err" &
	entry_pid[$1]=$!
	pids+=($!)
	wait_for "$1 to be ready" is_ready "$1"
}

# is_ready NAME: checks whether it reports itself ready.
is_ready()
{
	[ "$(status "${entry_ready[$1]}/")" = 200 ]
}

# status_is ADDRESS/PATH STATUS: checks the status of an answer.
status_is()
{
	[ "$(status "$1")" = "$2" ]
}

# call_is NAME PATH ID STATUS: checks the status that a request gets.
call_is()
{
	[ "$(call "$1" "$2" "$3" | tail -1)" = "$4" ]
}

# answers ADDRESS/PATH: checks whether there is any answer.
answers()
{
	! status_is "$1" 000
}

# call NAME PATH ID [CURL OPTION...]: sends a request as a caller; prints the
# body and the status.
call()
{
	curl -sS -N -m "$CURL_CAP" "http://${entry_caller[$1]}$2" \
	    -H 'Host: a.example' -H 'Authorization: Token k1' \
	    -H "Attempt-Id: $3" -H 'Deadline-Ms: 20000' \
	    -w '%{http_code}\n' "${@:4}" 2>>"$workdir/curl.err"
}

# draft NAME ID EVENTS [CURL OPTION...]: requests a generation of so many events.
draft()
{
	call "$1" /draft/x "$2" -H "Token-Usage: 100,$(($3 * 4))" \
	    -H 'Model: m' -X POST "${@:4}"
}

# event_ids FILE: prints the first and last id of a stream's events, or the first
# gap.
event_ids()
{
	sed -n 's/^id: //p' "$1" | awk 'NR == 1 { first = $1; next_id = $1 }
	    $1 != next_id { print "GAP at", next_id; exit }
	    { last = $1; next_id++ }
	    END { print "events", first, "to", last }'
}

# runs ID: prints how often workers began a request.
runs()
{
	ctl "runs/$1"
}

# logged NAME PATTERN: checks whether an instance's log has a matching line.
logged()
{
	grep -qE "$2" "$workdir/$1.log"
}

# both MODE: sets the mode of the two engines that write raw answers.
both()
{
	ctl "worker/raw1/$1"
	ctl "worker/raw2/$1"
}

# wait_for_change NAME EVENT ENGINE: until an instance has logged it once more
# than at the last call.
declare -A n_changes
wait_for_change()
{
	local key="$1 $2 $3"
	n_changes[$key]=$((${n_changes[$key]:-0} + 1))
	wait_for "$key" has_changes "$1" "$2" "$3" "${n_changes[$key]}"
}
has_changes()
{
	[ "$(grep -c "\"event\":\"$2\",\"upstream\":\"$3\"" \
	    "$workdir/$1.log")" -ge "$4" ]
}

# show_stream NAME STATUS: what a caller got, whose client ended with that
# status.
show_stream()
{
	local file=$workdir/$1 ended=cut
	[ "$2" = 0 ] && ended=whole
	echo "$1: $ended, $(grep -c '^data: raw' "$file") events, $(event_ids \
	    "$file"), $(runs "$1") runs, text of an error: $(grep -cE \
	    'error|HTTP/1|X-Cause|Seal' "$file")"
}

# show_body NAME STATUS: the same for a plain answer. The first run's begins
# with a row of "x", of which a caller that is cut off gets any part.
show_body()
{
	local file=$workdir/$1 ended=cut
	[ "$2" = 0 ] && ended="whole, $(head -c 307200 "$file" | tr -dc x |
	    wc -c) bytes of the first run"
	echo "$1: $ended, $(runs "$1") runs, text of an error:" \
	    "$(grep -c error "$file")"
}
