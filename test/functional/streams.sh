#!/bin/bash
# Generations come whole, once and in order, or fail in so many words, while
# engines and connections fail.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"

# whole N: whether standard input is the text of N tokens, once and in order.
whole()
{
	local text wanted
	text=$(tr -d '\n')
	wanted=$(printf ' w%d' $(seq 0 $(($1 - 1))))
	[ "$text" = "$wanted" ] && echo "whole" || echo "WRONG: $text"
}

# text FILE: the text of a whole answer.
text()
{
	sed 's/.*"\(text\|content\)":"\([^"]*\)".*/\2/' "$1"
}

# chat INSTANCE PROMPT STREAM [CURL_OPTION...]
chat()
{
	local messages="[{\"role\":\"user\",\"content\":\"$2\"}]"
	get "${caller_of[$1]}/v1/chat/completions" \
	    -H 'Authorization: Bearer clinic-1' "${@:4}" \
	    -d "{\"model\":\"m1\",\"messages\":$messages,\"stream\":$3}"
}

# done_once FILE: whether a stream ended as it should.
done_once()
{
	[ "$(grep -c '^data: \[DONE\]' "$1")" = 1 ] || echo "WRONG: no end"
	[ "$(grep -c '"finish_reason":"' "$1")" = 1 ] || echo "WRONG: reason"
}

# total COUNTER INSTANCE...: a counter's sum.
total()
{
	local name sum=0
	for name in "${@:2}"; do
		sum=$((sum + $(metric "$name" "$1")))
	done
	echo $sum
}

# find_busy: sets $busy to the engine that runs something, $idle to the other.
busy_found()
{
	for busy in g1 g2; do
		field_above "${caller_of[$busy]}/load" running 0 && return 0
	done
	return 1
}

find_busy()
{
	for ((try = 0; try < WAIT_TRIES; try++)); do
		if busy_found; then
			idle=g1
			[ $busy = g1 ] && idle=g2
			return
		fi
		sleep "$WAIT_PAUSE"
	done
	fail "no engine runs anything"
}

engines_idle()
{
	field_is "${caller_of[g1]}/load" running 0 &&
	    field_is "${caller_of[g2]}/load" running 0
}

MEMORY_TOKENS=200000
start_fleet
log=$workdir/stream

echo "== chat and completions, streamed and whole, in each kind of HTTP"
for api in generate chat; do
	for how in --http1.1 --http1.0 '-HConnection: close'; do
		$api e1 'a length:20' true -N "$how" -D "$log.head" >"$log"
		tokens <"$log" | whole 20
		done_once "$log"
		tr -d '\r' <"$log.head" | grep -i '^X-Verdict\|^Content-Type' |
		    sort
		$api e2 'b length:20' false "$how" >"$log"
		text "$log" | whole 20
		grep -o '"completion_tokens":[0-9]*' "$log"
	done
done

echo "== cut part way, and repeated tokens"
for round in 1 2; do
	for engine in g1 g2; do
		control "${caller_of[$engine]}" '{"cut_after":7}'
		control "${caller_of[$engine]}" '{"repeat_every":3}'
	done
	generate e1 "cut $round length:30" true -N >"$log"
	tokens <"$log" | whole 30
	done_once "$log"
	chat e1 "cut $round length:30" false >"$log"
	text "$log" | whole 30
done
for engine in g1 g2; do
	control "${caller_of[$engine]}" '{"repeat_every":0}'
	control "${caller_of[$engine]}" '{"cut_after":0}'
done
[ "$(total godwitvale_resumes_total e1)" -ge 2 ] || echo "WRONG: not resumed"
[ "$(total godwitvale_tokens_dropped_total e1)" -ge 2 ] ||
    echo "WRONG: nothing dropped"

echo "== a connection that goes silent"
generate e2 'silent length:300' true -N >"$log" &
stream=$!
generate e3 'silent length:300' false >"$log.whole" &
other=$!
wait_for "a token" grep -q data: "$log"
control "${caller_of[g1]}" '{"fault":"silent"}'
control "${caller_of[g2]}" '{"fault":"silent"}'
wait $stream $other
control "${caller_of[g1]}" '{"fault":"none"}'
control "${caller_of[g2]}" '{"fault":"none"}'
tokens <"$log" | whole 300
done_once "$log"
text "$log.whole" | whole 300
[ "$(total godwitvale_resumes_total e2 e3)" -ge 2 ] ||
    echo "WRONG: not resumed"

echo "== a caller that goes away"
wait_for "idle engines" engines_idle
for stream in true false; do
	start_get "$log" "${caller_of[e1]}/v1/completions" \
	    -H 'Authorization: Bearer clinic-1' -d '{"model":"m1",
	    "prompt":"away length:15000","stream":'$stream'}'
	find_busy
	before=$(field "${caller_of[$busy]}/stats" cancelled)
	kill "$call"
	wait_for "the cancellation" \
	    field_above "${caller_of[$busy]}/stats" cancelled "$before"
	wait_for "idle engines" engines_idle
done
wait_for "e1 to be idle" json_is e1 /status in_progress 0

echo "== an engine killed: streams fail in words, whole answers are made anew"
generate e3 'killed length:4000' true -N >"$log" &
stream=$!
wait_for "a token" grep -q data: "$log"
find_busy
upstreams_out=$idle # so that the others run at the same engine
publish_bundle
wait_bundle $bundle_version e1 e2 e3
calls=()
for i in 1 2 3 4; do
	generate e1 "whole $i length:600" false >"$log.$i" &
	calls+=($!)
done
wait_for "both kinds" field_above "${caller_of[$busy]}/load" running 1
upstreams_out=
publish_bundle
wait_bundle $bundle_version e1 e2 e3
kill_program $busy
wait $stream
n=$(tokens <"$log" | wc -w)
[ "$n" -lt 4000 ] || echo "WRONG: nothing was lost"
tokens <"$log" | whole "$n"
grep -c DONE "$log"
grep -A1 '^event: error' "$log" | sed 's/"message":"[^"]*",//'
wait "${calls[@]}"
for i in 1 2 3 4; do
	text "$log.$i" | whole 600
done
[ "$(total godwitvale_regenerations_total e1)" -ge 1 ] ||
    echo "WRONG: none made anew"

check_logs
