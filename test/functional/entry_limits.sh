#!/bin/bash
# An upstream names a limit: all instances keep it together, also one that has
# had no answer of the upstream and one that is restarted, until it is gone.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
settings_entry e3 "${entry_control[e1]}"
for instance in e1 e2 e3; do
	start_instance "$instance"
done
wait_for "all instances to know each other" logged e3 '"peer-joined","peer":"e2"'

# named NAME COUNT: whether an instance has learnt so often that there is a limit.
named()
{
	[ "$(grep -c '"upstream-limit-named","upstream":"shop1"' \
	    "$workdir/$1.log")" -ge "$2" ]
}

# lifted NAME: whether an instance has learnt that there is no limit any more.
lifted()
{
	logged "$1" '"upstream-limit-lifted","upstream":"shop1"'
}

# flood: many requests at all instances, within a few seconds.
flood()
{
	local i instance
	for ((i = 0; i < 20; i++)); do
		for instance in e1 e2 e3; do
			call "$instance" /check/1 "f$((++n_calls))" |
			    tail -1 >>"$workdir/statuses"
		done
	done
}
n_calls=0

# begun: how many requests the upstream has begun so far.
begun()
{
	grep -c '^run .* begun$' "$site_log"
}

echo "== one answer tells all instances"
ctl limit/2
call e1 /check/1 c1 | tail -1
for instance in e1 e2 e3; do
	wait_for "the limit at $instance" named "$instance" 1
done

echo "== they keep it together"
start=$(begun)
SECONDS=0
flood
spent=$((SECONDS + 1))
sent=$(($(begun) - start))
# One and a half times the limit, and five.
[ "$sent" -le $((3 * spent + 5)) ] && echo "kept" || echo "EXCEEDED: $sent in $spent s"
[ "$sent" -ge 1 ] && echo "and used"
echo "statuses: $(sort -u "$workdir/statuses" | paste -sd ' ')"
call e1 /check/1 c2 -D "$workdir/head" >/dev/null
wait_for "a refusal" logged e1 '"outcome":"upstreams-limited","verdict":"not-run"'

echo "== an instance that is restarted learns of it without an answer"
kill -KILL "${entry_pid[e3]}"
wait "${entry_pid[e3]}" 2>/dev/null
start_instance e3
wait_for "the limit at e3" named e3 2
echo "told by $(grep -o '"source":"[a-z-]*"' "$workdir/e3.log" | tail -1)"

echo "== a limit that is no number changes nothing"
ctl limit/many
served()
{
	call_is e1 /check/1 "s$((++n_calls))" 200 ||
	    call_is e2 /check/1 "s$((++n_calls))" 200
}
unreadable()
{
	served
	logged e1 'upstream-limit-unreadable' ||
	    logged e2 'upstream-limit-unreadable'
}
wait_for "such an answer" unreadable
lifted e1 && echo "WRONG: lifted" || echo "still in force"

echo "== it is gone: all instances send freely again"
ctl limit/none
wait_for "an answer" served
for instance in e1 e2 e3; do
	wait_for "the end of the limit at $instance" lifted "$instance"
done
: >"$workdir/statuses"
flood
echo "statuses: $(sort -u "$workdir/statuses" | paste -sd ' ')"
