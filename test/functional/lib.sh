# Shared by the scripted runs: starting programs, waiting, cleaning up by
# process id. Sourced; BINDIR names the build directory.
set -u
WAIT_TRIES=300 # of WAIT_PAUSE each
WAIT_PAUSE=0.1 # seconds
CURL_CAP=30    # seconds
: "${BINDIR:=build}"
next_port=${FIRST_PORT:-18500}
workdir=$(mktemp -d)
pids=()

cleanup()
{
	local pid
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null
		kill -CONT "$pid" 2>/dev/null # in case it was stopped
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null
	done
	if [ -n "${KEEP_LOGS:-}" ]; then
		mv "$workdir" "$KEEP_LOGS"
	else
		rm -rf "$workdir"
	fi
}
trap cleanup EXIT

fail()
{
	echo "FAILED: $*"
	echo "FAILED: $*" >&2
	exit 1
}

# wait_for WHAT COMMAND...: polls until COMMAND succeeds.
wait_for()
{
	local what=$1 try
	shift
	for ((try = 0; try < WAIT_TRIES; try++)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep "$WAIT_PAUSE"
	done
	fail "still waiting for $what"
}

# run_program COMMAND...: starts it in the background; its output goes to
# $workdir/NUMBER.log, its process id to $pid, that number to $program.
run_program()
{
	program=${#pids[@]}
	"$@" >"$workdir/$program.log" 2>"$workdir/$program.err" &
	pid=$!
	pids+=("$pid")
}

# free_port: sets $port to the next port that nothing listens on.
free_port()
{
	while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
		next_port=$((next_port + 1))
	done
	port=$next_port
	next_port=$((next_port + 1))
}

# start_standin KIND [OPTION...]: sets $address and $pid.
start_standin()
{
	free_port
	address=127.0.0.1:$port
	run_program "$BINDIR/standin" "$1" --listen "$address" "${@:2}"
	wait_for "standin $1" grep -q '^ready ' "$workdir/$program.log"
}

# start_entry ADDRESS OPTION...: starts the daemon with the given options and
# waits until it accepts connections on ADDRESS.
start_entry()
{
	address=$1
	shift
	run_program "$BINDIR/godwitvale" "$@"
	wait_for "entry on $address" \
	    bash -c "exec 3<>/dev/tcp/${address%:*}/${address#*:}"
}

# stop_program PID: ends one program and waits for it.
stop_program()
{
	kill "$1" && wait "$1"
}

# get ADDRESS/PATH [CURL OPTION...]
get()
{
	curl -sS -m "$CURL_CAP" "http://$1" "${@:2}" 2>/dev/null
}

# start_get FILE ADDRESS/PATH [CURL OPTION...]: a call in the background, its
# answer into FILE as it comes; sets $call to its process id.
start_get()
{
	curl -sS -N -m "$CURL_CAP" "http://$2" "${@:3}" >"$1" 2>/dev/null &
	call=$!
	pids+=("$call")
}

# status ADDRESS/PATH [CURL OPTION...]: the answer's status only; 000 if none.
status()
{
	get "$1" -o /dev/null -w '%{http_code}\n' "${@:2}"
}

# control ADDRESS JSON: switches a fault on a stand-in.
control()
{
	[ "$(status "$1/control" -d "$2")" = 200 ] || fail "control $2"
}

# field ADDRESS/PATH NAME: a number or text member of a flat JSON answer.
field()
{
	get "$1" | grep -o "\"$2\":\(\"[^\"]*\"\|[0-9]*\)" | head -1 |
	    cut -d: -f2-
}

# field_is ADDRESS/PATH NAME VALUE; field_above ADDRESS/PATH NAME NUMBER
field_is()
{
	[ "$(field "$1" "$2")" = "$3" ]
}

field_above()
{
	[ "$(field "$1" "$2")" -gt "$3" ]
}

# tokens: a stream's text, one token after another, on one line.
tokens()
{
	grep -o '" w[0-9]*"' | tr -d '"\n'
	echo
}
