#!/bin/bash
# An engine says in its answers that it leaves, and the store doesn't: nothing
# new goes to it from any instance until another incarnation has its place.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site lm1,lm,z1 lm2,lm,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
start_instance e1
start_instance e2
wait_for "the instances to know each other" logged e2 '"peer-joined","peer":"e1"'

# begun_at ENGINE: how many runs it has begun.
begun_at()
{
	grep -c "^run .* $1 begun$" "$site_log"
}

# prompt NAME: a short draft.
prompt()
{
	draft "$1" "p$((++n_prompts))" 2 >/dev/null
}
n_prompts=0

# used ENGINE: whether it gets a request of some at both instances.
used()
{
	local before i
	before=$(begun_at "$1")
	for ((i = 0; i < 8; i++)); do
		prompt e1
		prompt e2
	done
	[ "$(begun_at "$1")" -gt "$before" ]
}

echo "== a long draft runs when the engine says so to another request"
draft e2 g1 150 >"$workdir/g1" &
long=$!
wait_for "events" grep -q '^id: 5$' "$workdir/g1"
engine=$(sed -n 's/^run g1 \([a-z0-9]*\) begun$/\1/p' "$site_log")
ctl "worker/$engine/saysleaving"
says_so()
{
	prompt e1
	logged e1 "\"upstream-says-leaving\",\"upstream\":\"$engine\".*\"answer\""
}
wait_for "such an answer" says_so
wait_for "e2 to hear of it" logged e2 \
    "\"upstream-says-leaving\",\"upstream\":\"$engine\".*another-instance"
wait "$long" && echo "the long one: whole, $(event_ids "$workdir/g1")"
logged e2 'handover-continued.*"id":"g1"' && echo "it went on elsewhere"

echo "== nothing new goes there, whatever the store says"
used "$engine" && echo "WRONG: used" || echo "not used"
ctl "worker/$engine/ready"
used "$engine" && echo "WRONG: used" || echo "not used after it was written again"
ctl "del/servers/$engine"
wait_for "its removal" logged e1 "upstream-removed.*$engine"
ctl "worker/$engine/ready"
wait_for "its return" logged e2 "upstream-added.*$engine.*"
sleep 1
used "$engine" && echo "WRONG: used" || echo "not used after it was deleted"

echo "== another incarnation is used"
ctl "worker/$engine/leave"
ctl "worker/$engine/back"
wait_for "it to be used" used "$engine"
echo used
