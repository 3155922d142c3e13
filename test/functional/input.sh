#!/bin/bash
# Malformed, oversized and forged input: refused in so many words or counted
# and dropped, and the instance goes on serving.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"

# post WHAT BODY [CURL_OPTION...]: prints the refusal of a generation.
post()
{
	printf '%s: ' "$1"
	ask "${caller_of[e1]}/v1/completions" --data-binary "$2" "${@:3}"
}

# raw WHAT TEXT: sends bytes as they are, closes, prints the answer's status.
raw()
{
	exec 5<>"/dev/tcp/${caller_of[e1]%:*}/${caller_of[e1]#*:}"
	printf '%b' "$2" >&5
	printf '%s: %s\n' "$1" \
	    "$(timeout 0.5 head -1 <&5 | cut -d' ' -f2 | tr -d '\r')"
	exec 5>&-
}

# dropped REASON: datagrams that e1 dropped for it.
dropped()
{
	get "${operator_of[e1]}/metrics" |
	    sed -n "s/^godwitvale_peer_dropped_total{reason=\"$1\"} //p"
}

dropped_above()
{
	[ "$(dropped "$1")" -gt "$2" ]
}

# datagram: sends standard input to e1's peer address as one datagram.
datagram()
{
	cat >"$workdir/datagram"
	dd if="$workdir/datagram" bs=65000 status=none \
	    >"/dev/udp/${peer_of[e1]%:*}/${peer_of[e1]#*:}"
}

# serves: e1 still gives whole answers.
serves()
{
	generate e1 'fine length:3' false | grep -q ' w0 w1 w2"' ||
	    echo "WRONG: e1 does not serve"
}

start_fleet

echo "== bodies"
post "no JSON" 'hello'
post "half a JSON" '{"model":"m1","prompt":"a"'
post "two JSONs" '{"model":"m1","prompt":"a"} {}'
post "array" '[]'
post "null" 'null'
post "empty" ''
post "no model" '{"prompt":"a"}'
post "model of wrong type" '{"model":7,"prompt":"a"}'
post "unknown model" '{"model":"m9","prompt":"a"}'
post "no prompt" '{"model":"m1"}'
post "prompt of wrong type" '{"model":"m1","prompt":["a"]}'
post "stream of wrong type" '{"model":"m1","prompt":"a","stream":"yes"}'
for n in 0 -1 1.5 '"9"' 99999999999999999999; do
	post "max_tokens $n" "{\"model\":\"m1\",\"prompt\":\"a\",\"max_tokens\":$n}"
done
nested=$(printf '[%.0s' {1..5000})
post "deep nesting" "{\"model\":\"m1\",\"prompt\":$nested"
printf '{"model":"m1","prompt":"\377\376"}' >"$workdir/bytes"
post "not UTF-8" "@$workdir/bytes"
for body in '[]' '[7]' '[{}]' '[{"content":7}]' '{"content":"a"}' null; do
	printf 'messages %s: ' "$body"
	ask "${caller_of[e1]}/v1/chat/completions" \
	    -d "{\"model\":\"m1\",\"messages\":$body}"
done
post "unknown organisation" '{"model":"m1","prompt":"a"}' \
    -H 'Authorization: Bearer nobody'
echo "no organisation: $(status "${caller_of[e1]}/v1/completions" \
    -d '{"model":"m1","prompt":"a"}')"
head -c 2000000 /dev/zero | tr '\0' x >"$workdir/large"
post "oversized" "@$workdir/large"
post "oversized, chunked" "@$workdir/large" -H 'Transfer-Encoding: chunked'
serves

echo "== paths and methods"
for path in / /v1 /services /services/ /services//x /services/none/x \
    '/services/stock/%00' '/services/stock/../../load'; do
	printf '%s: ' "$path"
	ask "${caller_of[e1]}$path" --path-as-is
done
for method in GET PUT DELETE OPTIONS; do
	printf '%s: ' $method
	ask "${caller_of[e1]}/v1/completions" -X $method
done
serves

echo "== HTTP"
raw "no HTTP" 'hello\r\n\r\n'
raw "truncated" 'POST /v1/completions HTTP/1.1\r\nContent-Le'
raw "no host" 'GET / HTTP/1.1\r\n\r\n'
raw "bad length" 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n'
raw "short body" 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n{'
raw "bad chunk" \
    'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'
raw "star" 'OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n'
raw "connect" 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n'
serves
wait_for "e1 to be idle" json_is e1 /status in_progress 0

echo "== datagrams"
for text in x 'sixteen bytes or more of no RPC at all' ''; do
	before=$(dropped garbage)
	printf '%s' "$text" | datagram
	[ -z "$text" ] || wait_for "a drop" dropped_above garbage "$before"
done
before=$(dropped garbage)
head -c 1400 /dev/urandom | datagram
wait_for "a drop" dropped_above garbage "$before"
# An RPC call of the peers' procedure: program, version, no credentials.
call='\0\0\0\7\0\0\0\0\0\0\0\2\40\7\107\127\0\0\0\1\0\0\0\1'
call=$call'\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0'
before=$(dropped garbage)
printf "$call" | datagram
wait_for "a drop" dropped_above garbage "$before"
serves
wait_voting e1

echo "== peers with another key: dropped as forged"
PEER_KEY=$("$BINDIR/godwitvale" keygen --peer)
kill_program e3
before=$(dropped forged)
start_instance e3
wait_for "a drop" dropped_above forged "$before"
serves
order e1 fine | grep -o '"run":1'
check_logs
