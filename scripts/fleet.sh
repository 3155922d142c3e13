# Functions that start a small fleet on loopback for the demo and the functional
# tests: stand-ins of the platform and the upstreams, and entry instances. Sourced after
# test/functional/lib.sh, whose functions it uses.

PEER_KEY=
PUBLIC_KEY=
bundle_version=0
zones_out=
upstreams_out=
upstream_rows=()
member_rows=()
model_version=1
service_window_ms=3000
declare -A caller_of operator_of peer_of pid_of zone_of

# make_keys: creates the operators' key pair and the instances' common key.
make_keys()
{
	"$BINDIR/godwitvale" keygen --out "$workdir/operator.key" >/dev/null ||
	    fail "keygen"
	PUBLIC_KEY=$(sed -n 's/.*"public": *"\([0-9a-f]*\)".*/\1/p' \
	    "$workdir/operator.key")
	PEER_KEY=$("$BINDIR/godwitvale" keygen --peer)
}

# start_platform [CONFIG_OPTION...]: starts the configuration service and the
# member list.
start_platform()
{
	start_standin config "$@"
	config=$address
	config_pid=$pid
	start_standin members --lag-ms "${LIST_LAG_MS:-200}"
	members=$address
}

# start_engine NAME ZONE [OPTION...]
# start_service NAME ZONE SERVES [OPTION...]
start_engine()
{
	start_standin engine --model m1/1 "${@:3}"
	upstream_rows+=("$1 $2 $address m1")
	pid_of[$1]=$pid
	caller_of[$1]=$address
}

start_service()
{
	start_standin service "${@:4}"
	upstream_rows+=("$1 $2 $address $3")
	pid_of[$1]=$pid
	caller_of[$1]=$address
}

# state NAME LIST: prints "out" if NAME is one of the words of LIST.
state()
{
	case " $2 " in
	*" $1 "*) echo out ;;
	*) echo in ;;
	esac
}

# upstream_json NAME ZONE ADDRESS SERVES: prints an upstream's entry in a bundle.
upstream_json()
{
	local engine=false memory=0
	[ "$4" = m1 ] && engine=true memory=${MEMORY_TOKENS:-20000}
	printf '{"name":"%s","address":"%s","zone":"%s","serves":"%s",' \
	    "$1" "$3" "$2" "$4"
	printf '"engine":%s,"checks_fence":true,"memory_tokens":%s,' \
	    "$engine" "$memory"
	printf '"max_running":%s,"cold_limit":%s,"warm_span_ms":%s,' \
	    "${MAX_RUNNING:-16}" "${COLD_LIMIT:-2}" "${WARM_SPAN_MS:-1000}"
	printf '"state":"%s"}' "$(state "$1" "$upstreams_out")"
}

# write_bundle FILE: writes the bundle with the version $bundle_version.
write_bundle()
{
	local zone row service separator=
	{
		printf '// Made for a run on stand-ins.\n{"version":%s,' \
		    "$bundle_version"
		printf '"signed_by":"operator","zones":['
		for zone in bilbao santander oviedo; do
			printf '%s{"name":"%s","region":"norte","state":"%s"}' \
			    "$separator" "$zone" "$(state $zone "$zones_out")"
			separator=,
		done
		printf '],"models":[{"name":"m1","max_tokens":20000,'
		printf '"context_tokens":20000,"version":"%s"}],' \
		    "$model_version"
		printf '"services":['
		for service in orders bookings returns; do
			printf '{"name":"%s","idempotent":false,' $service
			printf '"identity":"header",'
			printf '"identity_header":"x-request-id",'
			printf '"resend_window_ms":%s,"timeout_ms":5000},' \
			    "$service_window_ms"
		done
		printf '{"name":"stock","idempotent":true,'
		printf '"identity":"body","timeout_ms":5000}],'
		printf '"organisations":[{"name":"clinic","token":"clinic-1",'
		printf '"weight":1}],"classes":[{"name":"default",'
		printf '"priority":0,"patience_ms":10000}],"upstreams":['
		separator=
		for row in "${upstream_rows[@]}"; do
			# shellcheck disable=SC2086 # a row of words
			printf '%s%s' "$separator" "$(upstream_json $row)"
			separator=,
		done
		printf '],"instances":[],"policy":{}}\n'
	} >"$1"
}

# publish_bundle: signs the next version and sends it to the configuration
# service.
publish_bundle()
{
	bundle_version=$((bundle_version + 1))
	write_bundle "$workdir/bundle-$bundle_version.json"
	"$BINDIR/godwitvale" bundle sign --key "$workdir/operator.key" \
	    --out "$workdir/bundle-$bundle_version.signed" \
	    "$workdir/bundle-$bundle_version.json" >/dev/null ||
	    fail "bundle sign"
	offer_bundle "$workdir/bundle-$bundle_version.signed"
}

# offer_bundle FILE: sends a signed bundle to the configuration service.
offer_bundle()
{
	[ "$(status "$config/control/bundle" -X PUT --data-binary @"$1")" \
	    = 200 ] || fail "offer bundle"
}

# write_settings NAME ZONE FILE: writes an instance's settings.
write_settings()
{
	cat >"$3" <<EOF
{
	"instance": "$1", // made for a run on stand-ins
	"zone": "$2",
	"listen": {"caller": "${caller_of[$1]}", "peer": "${peer_of[$1]}",
		"operator": "${operator_of[$1]}"},
	"platform": {"config": "$config", "members": "$members"},
	"keys": {"peer": "$PEER_KEY", "bundle": "$PUBLIC_KEY"},
	"timing": {"members_interval_ms": 200, "report_interval_ms": 100,
		"claim_timeout_ms": 500, "list_lag_ms": 300,
		"list_freshness_ms": 1000, "bundle_freshness_ms": 3000,
		"progress_timeout_ms": ${PROGRESS_MS:-1000},
		"resend_window_ms": 3000}
}
EOF
}

# add_instance NAME ZONE: reserves its addresses and lists it.
add_instance()
{
	free_port
	caller_of[$1]=127.0.0.1:$port
	free_port
	operator_of[$1]=127.0.0.1:$port
	free_port
	peer_of[$1]=127.0.0.1:$port
	zone_of[$1]=$2
	member_rows+=("$1")
}

# list_members NAME...: publishes the membership list.
list_members()
{
	local name separator=
	{
		printf '['
		for name in "$@"; do
			printf '%s{"name":"%s","ip":"127.0.0.1",' \
			    "$separator" "$name"
			printf '"peer_port":%s,"zone":"%s","state":"live"}' \
			    "${peer_of[$name]#*:}" "${zone_of[$name]}"
			separator=,
		done
		printf ']\n'
	} >"$workdir/members.json"
	[ "$(status "$members/control/members" -X PUT \
	    --data-binary @"$workdir/members.json")" = 200 ] ||
	    fail "list members"
}

# start_instance NAME: its log goes to $workdir/NAME.log.
start_instance()
{
	write_settings "$1" "${zone_of[$1]}" "$workdir/$1.json"
	nohup "$BINDIR/godwitvale" serve --settings "$workdir/$1.json" \
	    >>"$workdir/$1.log" 2>&1 &
	pid_of[$1]=$!
	pids+=($!)
}

# json_is NAME PATH FIELD VALUE: checks a field of an answer at an instance's
# operator address.
json_is()
{
	get "${operator_of[$1]}$2" | tr -d ' \t\n' |
	    grep -q "\"$3\":$4[,}]"
}

# wait_up NAME: waits until it answers; it accepts callers from then on, too.
wait_up()
{
	wait_for "$1 to answer" json_is "$1" /status instance "\"$1\""
}

# wait_voting NAME...: waits until each votes and has confirmed the newest
# bundle.
wait_voting()
{
	local name
	for name in "$@"; do
		wait_for "$name to vote" json_is "$name" /status votes true
		wait_for "$name to be sure of the bundle" \
		    json_is "$name" /status authorised true
	done
}

# wait_bundle VERSION NAME...: waits until each uses this version.
wait_bundle()
{
	local name version=$1
	shift
	for name in "$@"; do
		wait_for "bundle $version at $name" \
		    json_is "$name" /status bundle_version "$version"
	done
}

# metric NAME COUNTER: prints a counter's value at an instance.
metric()
{
	get "${operator_of[$1]}/metrics" | sed -n "s/^$2 //p"
}

# generate INSTANCE PROMPT STREAM [CURL_OPTION...]
generate()
{
	get "${caller_of[$1]}/v1/completions" \
	    -H 'Authorization: Bearer clinic-1' \
	    -d "{\"model\":\"m1\",\"prompt\":\"$2\",\"stream\":$3}" "${@:4}"
}

# order INSTANCE ID [CURL_OPTION...]: places an order by its request id.
order()
{
	get "${caller_of[$1]}/services/orders/orders" \
	    -H 'Authorization: Bearer clinic-1' -H "X-Request-Id: $2" \
	    -d '{"van":1}' "${@:3}"
}

# ask ADDRESS/PATH [CURL_OPTION...]: sends a call as the clinic; prints its status,
# its verdict, a refusal's type and "retry" where Retry-After came.
ask()
{
	local head=$workdir/head.$BASHPID body=$workdir/body.$BASHPID
	rm -f "$head" "$body"
	get "$1" -H 'Authorization: Bearer clinic-1' -D "$head" -o "$body" \
	    "${@:2}"
	summary "$head" "$body"
}

# summary HEAD BODY: prints the same for an answer that is in files.
summary()
{
	printf '%s %s %s %s\n' \
	    "$(tr -d '\r' <"$1" | sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p' |
		tail -1)" \
	    "$(tr -d '\r' <"$1" | sed -n 's/^X-Verdict: //Ip')" \
	    "$(sed -n 's/.*"type":"\([a-z-]*\)".*/\1/p' "$2" 2>/dev/null)" \
	    "$(grep -qi '^Retry-After: [0-9]' "$1" && echo retry)" |
	    sed 's/  */ /g;s/ $//'
}

# ask_order INSTANCE ID [CURL_OPTION...]: an order, printed as ask does.
ask_order()
{
	ask "${caller_of[$1]}/services/orders/orders" \
	    -H "X-Request-Id: $2" -d '{"van":1}' "${@:3}"
}

# runs ID [SERVICE]: prints how often the order ran.
runs()
{
	get "${caller_of[${2:-s1}]}/stats" | tr -d ' ' |
	    grep -o "\"$1\":[0-9]*" | cut -d: -f2 | grep . || echo 0
}

# ran ID: checks whether the order has run.
ran()
{
	[ "$(runs "$1")" -gt 0 ]
}

# kill_program NAME [SIGNAL]: ends an instance or a stand-in, by default at
# once, and waits for its end.
kill_program()
{
	kill -"${2:-KILL}" "${pid_of[$1]}"
	wait "${pid_of[$1]}" 2>/dev/null
}

# restart_standin NAME KIND [OPTION...]: starts it at its old address.
restart_standin()
{
	run_program "$BINDIR/standin" "$2" --listen "${caller_of[$1]}" "${@:3}"
	pid_of[$1]=$pid
	wait_for "$1 to serve" grep -q '^ready ' "$workdir/$program.log"
}

# check_logs: prints the warnings of GLib and the reports of the sanitizers.
check_logs()
{
	grep -h 'CRITICAL\|WARNING \*\*\|ERROR: \(Address\|Leak\)Sani\|runtime error' \
	    "$workdir"/e*.log
	true
}

# shellcheck disable=SC2086 # options are words
# start_fleet: starts the platform, two engines, one order service and three
# instances.
start_fleet()
{
	make_keys
	start_platform
	start_engine g1 bilbao --step-ms 5 ${ENGINE_OPTIONS:-}
	start_engine g2 santander --step-ms 5 ${ENGINE_OPTIONS:-}
	start_service s1 oviedo orders --work-ms "${WORK_MS:-0}"
	start_service s2 oviedo stock
	publish_bundle
	add_instance e1 bilbao
	add_instance e2 santander
	add_instance e3 oviedo
	list_members e1 e2 e3
	start_instance e1
	start_instance e2
	start_instance e3
	wait_bundle 1 e1 e2 e3
	wait_voting e1 e2 e3
}

# cpu_ms PID: prints a process's processor time, in milliseconds.
cpu_ms()
{
	awk -v hz="$(getconf CLK_TCK)" \
	    '{ print int(($14 + $15) * 1000 / hz) }' "/proc/$1/stat"
}
