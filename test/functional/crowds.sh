# Functions for tests of groups of misbehaving callers: an instance with few
# descriptors, a group at one of its addresses, and checks that don't depend on
# the machine's speed. Sourced after scripts/site.sh by a script that sets
# the bounds MEMORY_KB, MACHINE_KB and DESCRIPTORS.

CURL_CAP=5       # seconds
SAMPLE_PAUSE=0.1 # seconds between two measurements of memory
descriptors_of_shell=$(ulimit -S -n)

# begin_case NAME [LIMITS]: starts an instance with few descriptors. LIMITS are
# members of its settings' "limits".
begin_case()
{
	settings_entry "$1"
	[ -z "${2:-}" ] || sed -i "s/\"instance\"/\"limits\": { $2 }, &/" \
	    "$workdir/$1.json"
	ulimit -S -n "$DESCRIPTORS"
	start_instance "$1"
	ulimit -S -n "$descriptors_of_shell"
	wait_for "upstreams" logged "$1" 'upstream-added.*shop1'
	measure "$1"
}

# kernel_kb NAME: kilobytes that wait in the kernel at the instance's sockets,
# received and not read or written and not acknowledged.
kernel_kb()
{
	awk -v ip="${entry_caller[$1]%:*}" '
	    function hex(text, i, n) {
		n = 0
		for (i = 1; i <= length(text); i++)
			n = n * 16 + index("0123456789ABCDEF", substr(text, i, 1)) - 1
		return n
	    }
	    BEGIN {
		split(ip, part, ".")
		own = sprintf("%02X%02X%02X%02X", part[4], part[3], part[2], part[1])
	    }
	    NR > 1 && index($2, own ":") == 1 {
		split($5, queue, ":")
		sum += hex(queue[1]) + hex(queue[2])
	    }
	    END { print int(sum / 1024) }' /proc/net/tcp
}

# measure NAME: notes again and again, until the instance ends, how much memory
# it and its sockets take.
measure()
{
	local pid=${entry_pid[$1]} resident peak=0 sum
	while resident=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status" \
	    2>/dev/null) && [ -n "$resident" ]; do
		sum=$((resident + $(kernel_kb "$1")))
		if [ "$sum" -gt "$peak" ]; then
			peak=$sum
			# A reader must not find the file empty.
			echo "$peak" >"$workdir/$1.peak.new"
			mv "$workdir/$1.peak.new" "$workdir/$1.peak"
		fi
		sleep "$SAMPLE_PAUSE"
	done &
	pids+=($!)
}

# is_served NAME: whether an ordinary request is answered.
n_calls=0
is_served()
{
	call_is "$1" /check/x "ordinary-$((++n_calls))" 200
}

# within NAME BOUND VALUE: prints whether the value is within the bound; the
# value itself goes to standard error.
within()
{
	echo "$1 $3" >&2
	[ "$3" -le "$2" ] && echo "  $1 within bounds" || echo "  $1 $3 above $2"
}

# holds_nothing NAME: whether only the bytes of the call for the metrics are
# counted.
holds_nothing()
{
	local held
	held=$(get "${entry_metrics[$1]}/metrics" |
	    awk '$1 == "godwitvale_entry_client_bytes" { print $2 }')
	[ -n "$held" ] && [ "$held" -lt 16384 ]
}

# check_case NAME: checks the instance while its callers hold their connections.
check_case()
{
	local pid=${entry_pid[$1]} try answered=no
	for ((try = 0; try < 20; try++)); do
		is_served "$1" && answered=yes && break
		sleep 0.5
	done
	kill -0 "$pid" 2>/dev/null && echo "  alive" || echo "  dead"
	within descriptors "$DESCRIPTORS" \
	    "$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)"
	within memory "$MEMORY_KB" \
	    "$(awk '/^VmHWM/ { print $2 }' "/proc/$pid/status")"
	within "memory with the kernel's" "$MACHINE_KB" \
	    "$(cat "$workdir/$1.peak")"
	echo "  an ordinary request is answered: $answered"
}

# end_crowd: ends the group of callers, if there is one.
end_crowd()
{
	[ -z "${crowd_pid:-}" ] || stop_program "$crowd_pid" 2>/dev/null
	crowd_pid=
}

# end_case NAME: checks the instance, and that it forgets callers that have gone.
end_case()
{
	check_case "$1"
	end_crowd
	wait_for "the bytes of callers that have gone" holds_nothing "$1"
	kill "${entry_pid[$1]}"
	wait "${entry_pid[$1]}"
}

# crowd ADDRESS SHAPE COUNT BYTES [TARGET]: starts callers and waits until they
# rest.
crowd()
{
	run_program "$BINDIR/crowd" "$@"
	crowd_pid=$pid
	wait_for "the callers" grep -q ready "$workdir/$program.log"
}

# run_case NAME TEXT SHAPE COUNT BYTES
run_case()
{
	echo "== $2"
	begin_case "$1"
	crowd "${entry_caller[$1]}" "${@:3}"
	end_case "$1"
}
