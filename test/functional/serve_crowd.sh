# A group of misbehaving callers at an instance of "serve", e1, and checks that
# don't depend on the machine's speed. Sourced after scripts/fleet.sh and
# test/functional/crowds.sh.

MEMORY_KB=81920 # of the 88 MB of a small machine; the kernel needs some
DESCRIPTORS=400

# restart: starts e1 again, with few descriptors.
restart()
{
	kill_program e1
	ulimit -S -n "$DESCRIPTORS"
	start_instance e1
	ulimit -S -n "$descriptors_of_shell"
	wait_up e1
	wait_voting e1
}

# is_served NAME: whether an ordinary request is answered.
is_served()
{
	generate "$1" "ordinary length:3" false -m "$CURL_CAP" |
	    grep -q ' w0 w1 w2"'
}

# run_at ADDRESS TEXT SHAPE COUNT BYTES [TARGET]
run_at()
{
	local pid try answered=no
	echo "== $2"
	restart
	crowd "$1" "${@:3}"
	pid=${pid_of[e1]}
	for ((try = 0; try < 20; try++)); do
		is_served e1 && answered=yes && break
		sleep 0.5
	done
	kill -0 "$pid" 2>/dev/null && echo "  alive" || echo "  dead"
	within descriptors "$DESCRIPTORS" \
	    "$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)"
	within memory "$MEMORY_KB" \
	    "$(awk '/^VmHWM/ { print $2 }' "/proc/$pid/status")"
	echo "  an ordinary request is answered: $answered"
	end_crowd
	wait_for "an operator's call" json_is e1 /status instance '"e1"'
}
