#!/bin/bash
# Each stand-in answers as docs/protocols.md says, and its faults take hold.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"

signed()
{
	printf '{"bundle":"%s","signature":"00"}' \
	    "$(printf '{"version": %d}' "$1" | base64 -w0)"
}

echo "== config"
start_standin config --rate 0
config=$address
status "$config/config/bundle"
get "$config/control/bundle" -X PUT -d "$(signed 7)"
get "$config/config/bundle" -D - -o /dev/null | grep -i '^etag' | tr -d '\r'
status "$config/config/bundle?after=7&wait_ms=10"
start_get "$workdir/watch" "$config/config/bundle?after=7&wait_ms=20000"
watch=$call
wait_for "a watch" field_is "$config/stats" watches 1
get "$config/control/bundle" -X PUT -d "$(signed 8)"
wait "$watch"
grep -o '"bundle":"[^"]*"' "$workdir/watch" | cut -d'"' -f4 | base64 -d
echo
field "$config/stats" calls
control "$config" '{"fault":"stale"}'
get "$config/control/bundle" -X PUT -d "$(signed 9)"
status "$config/config/bundle?after=8&wait_ms=10"
control "$config" '{"fault":"none"}'
status "$config/config/bundle?after=8&wait_ms=10"
control "$config" '{"fault":"down"}'
status "$config/config/bundle"
control "$config" '{"fault":"none"}'
head -c 1000000 /dev/zero | tr '\0' x >"$workdir/large"
get "$config/control/bundle" -X PUT -H 'X-Version: 10' \
    --data-binary "@$workdir/large"
get "$config/config/bundle" | wc -c
start_standin config --rate 1
over_rate()
{
	[ "$(status "$address/config/bundle")" = 429 ]
}
wait_for "a call over the rate" over_rate
field "$address/stats" limited

echo "== members"
list='[{"name":"a","ip":"127.0.0.1"}]'
start_standin members --lag-ms 10000000
get "$address/control/members" -X PUT -d "$list"
get "$address/members"
start_standin members --lag-ms 50
get "$address/control/members" -X PUT -d "$list"
wait_for "the lagging list" field_is "$address/members" revision 1
get "$address/members"

echo "== engine"
start_standin engine
engine=$address
prompt=$(seq 40 | tr '\n' ' ')
get "$engine/v1/completions" -d "{\"prompt\":\"$prompt\",\"max_tokens\":3}" |
    sed 's/[0-9]*:\([0-9]*\)$/ID:\1/'
get "$engine/cache-events?after=0" | grep -o '"op":"[a-z]*"'
field "$engine/cache-events?after=0" next
get "$engine/v1/completions" -d "{\"prompt\":\"$prompt\",\"max_tokens\":1}" |
    tokens
field "$engine/stats" cached_tokens
echo "-- a connection is kept, also after a stream"
get "$engine/v1/completions" -d '{"prompt":"a","max_tokens":1}' \
    -w '%{num_connects}\n' -o /dev/null --next -sS -m "$CURL_CAP" \
    -w '%{num_connects}\n' -o /dev/null "http://$engine/load"
echo "-- cut and resumed"
control "$engine" '{"cut_after":2}'
get "$engine/v1/chat/completions" \
    -d '{"messages":[{"content":"say length:5"}]}' >"$workdir/cut"
tokens <"$workdir/cut"
id=$(sed -n 's/^id: \([0-9]*\):.*/\1/p' "$workdir/cut" | head -1)
get "$engine/generations/$id?offset=2" | tokens
status "$engine/generations/1?offset=0"
echo "-- repeated"
control "$engine" '{"repeat_every":2}'
get "$engine/v1/completions" -d '{"prompt":"a","max_tokens":4}' | tokens
control "$engine" '{"repeat_every":0}'
echo "-- silent: the old connection stalls, a new one resumes"
start_get "$workdir/silent" "$engine/v1/completions" \
    -d '{"prompt":"a","max_tokens":90000}'
stalled=$call
wait_for "first tokens" grep -q ':3$' "$workdir/silent"
exec 4<>"/dev/tcp/${engine%:*}/${engine#*:}"
control "$engine" '{"fault":"silent"}'
printf 'GET /load HTTP/1.0\r\n\r\n' >&4
id=$(sed -n 's/^id: \([0-9]*\):.*/\1/p' "$workdir/silent" | head -1)
start_get "$workdir/resumed" "$engine/generations/$id?offset=1000"
wait_for "later tokens" grep -q ':1009$' "$workdir/resumed"
tokens <"$workdir/resumed" | cut -d' ' -f1-5
grep -c ':1000$' "$workdir/silent"
if read -r -t 1 -u 4; then
	echo "answered"
elif [ $? -gt 128 ]; then
	echo "unanswered"
fi
exec 4>&-
kill -0 "$stalled" && echo "still open"
control "$engine" '{"fault":"none"}'
get "$engine/generations/$id" -X DELETE
kill "$stalled"
echo "-- cancelled"
start_get "$workdir/cancel" "$engine/v1/completions" \
    -d '{"prompt":"a","max_tokens":90000}'
wait_for "first tokens" grep -q ':3$' "$workdir/cancel"
id=$(sed -n 's/^id: \([0-9]*\):.*/\1/p' "$workdir/cancel" | head -1)
get "$engine/generations/$id" -X DELETE
wait "$call"
grep -o 'finish_reason.*"' "$workdir/cancel"
status "$engine/generations/$id?offset=0"
echo "-- orders and fences"
status "$engine/orders" \
    -d '{"fence":5,"action":"load-model","name":"tower","version":"2"}'
wait_for "the model" field_is "$engine/load" model '"tower/2"'
field "$engine/load" fence
status "$engine/orders" \
    -d '{"fence":4,"action":"load-model","name":"old","version":"1"}'
start_standin engine --ignore-fence
for fence in 5 4; do
	status "$address/orders" -d "{\"fence\":$fence,\"action\":\"role\"}"
done
echo "-- restarted: cold, a new epoch, all forgotten"
epoch=$(field "$engine/load" start_epoch)
control "$engine" '{"restart":true}'
field_is "$engine/load" start_epoch "$epoch" || echo "new epoch"
status "$engine/generations/$id?offset=0"

echo "== engine, memory full"
start_standin engine --memory-tokens 100 --orphan-ms 50
control "$address" '{"paused":true}'
calls=()
for i in 1 2 3; do
	start_get "$workdir/full.$i" "$address/v1/completions" \
	    -H "X-Priority: $i" -d '{"prompt":"a","max_tokens":60}'
	calls+=("$call")
done
wait_for "three calls" field_is "$address/stats" started 3
control "$address" '{"paused":false}'
wait "${calls[@]}"
for i in 1 2 3; do
	grep -c '^data: {.*" w' "$workdir/full.$i"
done
field_above "$address/stats" preemptions 0 && echo "preempted"
echo "-- a reader that leaves"
start_get "$workdir/left" "$address/v1/completions" \
    -d '{"prompt":"a","max_tokens":90000}'
wait_for "first tokens" grep -q ':3$' "$workdir/left"
kill "$call"
wait_for "cancellation" field_is "$address/stats" cancelled 1
wait_for "its end" field_is "$address/load" running 0
field "$address/stats" streams

echo "== engine, lagging and gapped reports"
start_standin engine --report-lag-ms 10000000 --event-lag-ms 10000000
start_get "$workdir/lag" "$address/v1/completions" \
    -d "{\"prompt\":\"$prompt\",\"max_tokens\":90000}"
wait_for "first tokens" grep -q ':3$' "$workdir/lag"
field "$address/load" running
get "$address/cache-events?after=0"
start_standin engine --cache-blocks 2 --gap-every 3
for word in x y; do
	get "$address/v1/completions" -o /dev/null \
	    -d "{\"prompt\":\"$word $prompt\",\"max_tokens\":1}"
done
get "$address/cache-events?after=0" | grep -o '"seq":[0-9]*\|"op":"[a-z]*"'
control "$address" '{"fault":"slow","slow_ms":10000000}'
status "$address/load" -m 1
control "$address" '{"fault":"none"}'
status "$address/load"

echo "== engine, cold"
start_standin engine --cold-ms 100000 --cold-limit 1
get "$address/v1/completions" -d '{"prompt":"a","max_tokens":2}' | tokens
calls=()
for i in 1 2; do
	start_get "$workdir/cold.$i" "$address/v1/completions" \
	    -d '{"prompt":"a","max_tokens":100000}'
	calls+=("$call")
done
wait "${calls[@]}"
field "$address/stats" overloads
field "$address/stats" max_running_cold

echo "== service"
start_standin service --work-ms 1
order=(-H 'X-Request-Id: r1' -d '{}')
get "$address/orders" "${order[@]}"
get "$address/stock/board"
control "$address" '{"close_after_read":1}'
status "$address/orders" -H 'X-Request-Id: r2' -d '{}'
control "$address" '{"close_mid_body":1}'
get "$address/bookings" -H 'X-Request-Id: r3' -d '{}'
echo " curl says $?"
get "$address/stats" | grep -o '"runs":{[^}]*}' | tr ',{}' '\n' | sort
start_standin service --work-ms 20000 --cold-ms 100000 --cold-limit 1
calls=()
for i in 1 2; do
	start_get /dev/null "$address/stock"
	calls+=("$call")
done
wait "${calls[@]}"
field "$address/stats" overloads

echo "== weights"
start_standin weights --rate 1 --size 10
get "$address/weights/tower/2"
echo
over_rate()
{
	get "$address/weights/tower/2" -D "$workdir/weights" -o /dev/null
	grep -q '^HTTP/1.1 429' "$workdir/weights"
}
wait_for "a call over the rate" over_rate
grep -i '^retry-after' "$workdir/weights" | tr -d '\r'

echo "== errors"
for pid in "${pids[@]}"; do
	kill "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
done
cat "$workdir"/*.err
