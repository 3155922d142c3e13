#!/bin/bash
# Zones leave and return, and only genuine, newer bundles come in force, while
# the configuration service fails and instances lose their memory.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"

# started: generations started at g1, which is in bilbao.
started()
{
	field "${caller_of[g1]}/stats" started
}

# work N: N short generations, one after another, through the instances outside
# bilbao; prints those not whole.
work()
{
	local i
	for ((i = 0; i < $1; i++)); do
		generate "e$((i % 2 + 2))" "w$i length:3" false |
		    grep -q ' w0 w1 w2"' || echo "WRONG: lost"
	done
}

# rejected NAME: bundles that an instance rejected.
rejected()
{
	metric "$1" godwitvale_bundle_rejected_total
}

# offer_rejected WHAT FILE [CURL_OPTION...]: the service offers what must be
# refused; waits until an instance that watches has refused it.
offer_rejected()
{
	local before
	before=$(($(rejected e1) + $(rejected e2) + $(rejected e3)))
	[ "$(status "$config/control/bundle" -X PUT --data-binary @"$2" \
	    -H "X-Version: $((bundle_version + 100))")" = 200 ] ||
	    fail "offer $1"
	more()
	{
		[ $(($(rejected e1) + $(rejected e2) + $(rejected e3))) \
		    -gt "$before" ]
	}
	wait_for "$1 to be rejected" more
	echo "rejected: $1"
}

MEMORY_TOKENS=200000
start_fleet

echo "== a zone taken out under a stream, and back"
for round in 1 2; do
	generate e1 "stream length:300" true -N >"$workdir/stream.$round" &
done
wait_for "a stream" grep -q data: "$workdir/stream.1"
zones_out=bilbao
publish_bundle
wait_bundle 2 e1 e2 e3
before=$(started)
work 9
[ "$(started)" = "$before" ] || echo "WRONG: new work in the zone"
for round in 1 2; do
	wait_for "the end" grep -q DONE "$workdir/stream.$round"
	tokens <"$workdir/stream.$round" | wc -w
done
zones_out=
publish_bundle
wait_bundle 3 e1 e2 e3
back()
{
	work 3
	[ "$(started)" -gt "$before" ]
}
wait_for "work in the zone" back

echo "== two versions at once, then older content under a higher version"
zones_out=santander
publish_bundle
zones_out=oviedo
publish_bundle
wait_bundle 5 e1 e2 e3
zones_out=santander
publish_bundle
wait_bundle 6 e1 e2 e3
zones_out=
publish_bundle
wait_bundle 7 e1 e2 e3
"$BINDIR/godwitvale" audit "${operator_of[e1]}" | grep -c 'bundle.*in force' |
    sed 's/[67]/each version noted/'

echo "== what is not genuine, whole and newer is rejected"
printf 'not json at all' >"$workdir/garbage"
offer_rejected garbage "$workdir/garbage"
"$BINDIR/godwitvale" keygen --out "$workdir/other.key" >/dev/null
sed 's/"version":7/"version":9/' "$workdir/bundle-7.json" >"$workdir/other.json"
"$BINDIR/godwitvale" bundle sign --key "$workdir/other.key" \
    --out "$workdir/other" "$workdir/other.json" >/dev/null
offer_rejected "another key" "$workdir/other"
sed 's/"signature": *"../"signature":"00/' "$workdir/bundle-7.signed" \
    >"$workdir/forged"
offer_rejected "bad signature" "$workdir/forged"
sed 's/"signature".*"[0-9a-f]*"/"signature":""/' "$workdir/bundle-7.signed" \
    >"$workdir/unsigned"
offer_rejected unsigned "$workdir/unsigned"
head -c 300 "$workdir/bundle-7.signed" >"$workdir/truncated"
offer_rejected truncated "$workdir/truncated"
head -c 3000000 /dev/zero | tr '\0' x >"$workdir/large"
offer_rejected oversized "$workdir/large"
offer_bundle "$workdir/bundle-2.signed"
work 3
wait_bundle 7 e1 e2 e3

echo "== an amnesiac among peers that know better than the service"
kill_program e2
start_instance e2
# sure: e2 is sure of its bundle; complains when that is an older one.
sure()
{
	local now
	now=$(get "${operator_of[e2]}/status" | tr -d ' \t\n')
	case $now in
	*'"authorised":true'*) ;;
	*) return 1 ;;
	esac
	case $now in
	*'"bundle_version":7,'*) ;;
	*) echo "WRONG: $now" >>"$workdir/older" ;;
	esac
}
wait_for "e2 to be sure" sure
[ -e "$workdir/older" ] && cat "$workdir/older"
json_is e2 /status bundle_version 7 && echo "took the newer one"
wait_voting e2
before=$(started)
work 9
[ "$(started)" -gt "$before" ] || echo "WRONG: zone held out"

echo "== the service down, then back"
control "$config" '{"fault":"down"}'
kill_program e3
start_instance e3
wait_bundle 7 e3
wait_voting e3
work 3
control "$config" '{"fault":"none"}'
zones_out=bilbao
publish_bundle
wait_bundle 8 e1 e2 e3

echo "== all replaced one after another"
control "$config" '{"fault":"down"}'
for name in e1 e2 e3; do
	kill_program $name
	start_instance $name
	wait_voting $name
done
json_is e1 /status bundle_version 8 && json_is e3 /status bundle_version 8 &&
    echo "version 8 in force"
before=$(started)
work 6
[ "$(started)" = "$before" ] || echo "WRONG: new work in the zone"
check_logs
