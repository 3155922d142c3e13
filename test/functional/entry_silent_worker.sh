#!/bin/bash
# Workers fall silent for a second and go on: nothing is cut, repeated or
# forwarded in circles, be it some of them or all.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1 shop2,shop,z1 lm1,lm,z1 lm2,lm,z1
usual_routes
configure
settings_entry e1
settings_entry e2 "${entry_control[e1]}"
for instance in e1 e2; do
	start_instance "$instance"
done
wait_for "the instances to know each other" logged e1 '"peer-joined"'

# ask_in_background TAG: one request of each kind.
ask_in_background()
{
	call e1 /check/x "$1-c" >"$workdir/check" &
	asked=($!)
	call e1 /order/x "$1-o" -X POST -d 'one sheet' >"$workdir/order" &
	asked+=($!)
	call e1 /hint/x "$1-h" -X POST -H 'Token-Usage: 100,400' \
	    >"$workdir/hint" &
	asked+=($!)
	draft e1 "$1-d" 100 >"$workdir/draft" &
	asked+=($!)
}

# outcomes TAG: what came of them.
outcomes()
{
	wait "${asked[@]}"
	echo "check: $(tail -1 "$workdir/check")"
	echo "order: $(tail -1 "$workdir/order"), run $(runs "$1-o") times"
	echo "hint: $(tail -1 "$workdir/hint"), $(event_ids "$workdir/hint")"
	echo "draft: $(tail -1 "$workdir/draft"), $(event_ids "$workdir/draft"), run $(runs "$1-d") times"
}

# hold WORKER...
hold()
{
	local worker
	for worker in "$@"; do
		ctl "worker/$worker/hold"
	done
}

echo "== streams run as all workers fall silent, other requests come then"
ask_in_background a
wait_for "events" grep -q '^id: 5' "$workdir/draft"
hold shop1 shop2 lm1 lm2
call e1 /order/x a2 -X POST -d 'another sheet' >"$workdir/order2" &
asked+=($!)
call e1 /check/x a3 >"$workdir/check2" &
asked+=($!)
outcomes a
echo "an order meanwhile: $(tail -1 "$workdir/order2"), run $(runs a2) times"
echo "a check meanwhile: $(tail -1 "$workdir/check2")"

echo "== one worker of each service falls silent"
ask_in_background b
wait_for "events" grep -q '^id: 5' "$workdir/draft"
hold shop1 lm1
outcomes b
echo "cut off: $(grep -c '"event":"service-cut-off"' "$workdir/e1.log" |
    awk '{ print ($1 <= 2 ? "never since" : "again") }')"
