#!/bin/bash
# Measures the cost of control at an idle instance (processor time, memory,
# datagrams) for several numbers of upstreams and instances. Not a test.
BINDIR=${BUILD:-build}
FIRST_PORT=${FIRST_PORT:-25500}
SPAN=${SPAN:-10} # seconds that each row is measured for
cd "$(dirname "$0")/.." || exit 1
. test/functional/lib.sh || exit 1
. scripts/fleet.sh || exit 1

# row N_INSTANCES N_ENGINES: measures one combination and prints it.
row()
{
	(
		workdir=$(mktemp -d)
		pids=()
		trap cleanup EXIT
		FIRST_PORT=$((25500 + RANDOM % 4000))
		next_port=$FIRST_PORT
		names=()
		make_keys
		start_platform
		for ((i = 1; i <= $2; i++)); do
			start_engine "g$i" bilbao
		done
		publish_bundle
		for ((i = 1; i <= $1; i++)); do
			add_instance "e$i" bilbao
			names+=("e$i")
		done
		list_members "${names[@]}"
		for name in "${names[@]}"; do start_instance "$name"; done
		wait_voting "${names[@]}"
		sleep 3
		cpu=$(cpu_ms "${pid_of[e1]}")
		sent=$(metric e1 godwitvale_peer_sent_total)
		sleep "$SPAN"
		cpu=$(($(cpu_ms "${pid_of[e1]}") - cpu))
		sent=$(($(metric e1 godwitvale_peer_sent_total) - sent))
		rss=$(awk '/VmRSS/ { print $2 }' "/proc/${pid_of[e1]}/status")
		echo "instances $1 engines $2: cpu ms/s $((cpu / SPAN))" \
		    "datagrams sent/s $((sent / SPAN)) resident KB $rss"
	)
}

row 1 1
row 1 8
row 1 24
row 3 8
row 9 8
