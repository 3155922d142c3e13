# Functions that start the stand-in of the users' platform and entry instances on
# loopback, for the functional tests. Sourced after test/functional/lib.sh.

declare -A entry_zone entry_caller entry_ready entry_control entry_metrics entry_pid
site_version=1
retry_slack=10
deadline_ms=20000 # that callers name
site_keys='"k1","k2"'
hub_min=40
max_body_bytes=65536 # of callers
site_routes=
n_entries=0
STREAMS=6 # that callers take up at a time, so that none passes by chance
fleet_ports=

# start_site ID,SERVICE,ZONE...: the store and workers; sets $site and
# $site_log. With the prefix "linked:" a worker has a proxy in front of it,
# which can cut instances off: see cut(). "store-link" is one in front of the
# store, whose address $store_link is.
start_site()
{
	local specs=() spec
	free_port
	site=127.0.0.1:$port
	site_port=$port
	for spec in "$@"; do
		free_port
		[ "$spec" = store-link ] && store_link=127.0.0.1:$port
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

# cut NAME MODE: cuts an instance off from all that has a proxy (silent, reset,
# refuse), or ends this (normal).
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
	    \"engine\":{\"slots\":24,\"kv_capacity\":${engine_memory:-34000},
	    \"kv_bytes\":18432,\"hold_ms\":${engine_hold_ms:-0},
	    \"link_mbps\":2700,\"stride\":4,\"handle_s\":5,\"moves\":true}},
	    {\"name\":\"shop\",\"max_conns\":100}],
	    \"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":$max_body_bytes,
	    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
	    \"tenants\":[{\"name\":\"t1\",\"api_keys\":[$site_keys]}]}"
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
	    -H "Attempt-Id: $3" -H "Deadline-Ms: $deadline_ms" \
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

# has_begun FILE: whether events have come.
has_begun()
{
	grep -q '^id: 5$' "$1"
}

# begin INSTANCE PREFIX: streams whose callers then lose their connections.
begin()
{
	local i callers=()
	for ((i = 0; i < STREAMS; i++)); do
		call "$1" /hint/x "$2$i" -X POST -H 'Token-Usage: 100,4000' \
		    >"$workdir/$2$i" &
		callers+=($!)
	done
	for ((i = 0; i < STREAMS; i++)); do
		wait_for "events of $2$i" has_begun "$workdir/$2$i"
	done
	streams_of=("${callers[@]}")
}

# leave: the callers of the last streams close their connections.
leave()
{
	kill "${streams_of[@]}" 2>/dev/null
	wait "${streams_of[@]}" 2>/dev/null
}

# version_in FILE: the version of the engine that made its first event.
version_in()
{
	grep -m1 '^data: ' "$1" | awk '{ print $NF }'
}

# take_up INSTANCE PREFIX NEW: the callers take the streams up; prints how many
# went on at the version that began them, and the rest.
take_up()
{
	local i last same=0 other=0 refused=0
	for ((i = 0; i < STREAMS; i++)); do
		last=$(sed -n 's/^id: //p' "$workdir/$2$i" | tail -1)
		call "$1" /hint/x "$3$i" -X POST -H "Resumes: $2$i" \
		    -H "Last-Event-Id: $last" \
		    -H "Token-Usage: 100,$(((last + 2) * 4))" \
		    -D "$workdir/$3$i.head" >"$workdir/$3$i"
		if [ "$(tail -1 "$workdir/$3$i")" = 503 ]; then
			refused=$((refused + 1))
			grep -qi '^Retry-After' "$workdir/$3$i.head" ||
			    echo "WRONG: no Retry-After"
			[ "$(runs "$3$i")" = 0 ] || echo "WRONG: it has run"
		elif [ "$(version_in "$workdir/$3$i")" = \
		    "$(version_in "$workdir/$2$i")" ]; then
			same=$((same + 1))
		else
			other=$((other + 1))
		fi
	done
	echo "same version: $same, another: $other, refused: $refused"
}
