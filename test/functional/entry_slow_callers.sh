#!/bin/bash
# Callers that read late or close their sending side get all of their answers.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1
route page /page/ idempotent shop ',"timeout_ms":25000,"max_attempts":1'
configure
settings_entry e1
sed -i 's/"grace_ms": [0-9]*/"grace_ms": 12000/' "$workdir/e1.json"
start_instance e1
wait_for "upstreams" logged e1 'upstream-added.*shop1'

# request ID
request()
{
	printf '%s\r\n' 'GET /page/x HTTP/1.1' 'Host: a.example' \
	    'Authorization: Token k1' "Attempt-Id: $1" 'Deadline-Ms: 24000' ''
}

# raw NAME ID [OPTION...]: a request of a caller that curl can't play.
raw()
{
	request "$2" | "$BINDIR/raw_caller" "${entry_caller[$1]}" "${@:3}"
}

echo "== a large answer that is read late"
ctl worker/shop1/big
raw e1 big-1 --read-after 5000
raw e1 big-2 --receive-buffer 4096 --read-after 5000

echo "== callers that close their sending side after the request"
raw e1 half-big --half-close
ctl worker/shop1/page
raw e1 half-page --half-close --to-end
request half-old | sed 's|HTTP/1.1|HTTP/1.0|' |
    "$BINDIR/raw_caller" "${entry_caller[e1]}" --half-close --to-end

echo "== finished answers that are read late, beside SIGTERM"
ctl worker/shop1/page
for ((i = 0; i < 20; i++)); do
	request "late-$i"
done | "$BINDIR/raw_caller" "${entry_caller[e1]}" --receive-buffer 4096 \
    --read-after 6000 --to-end >"$workdir/late" &
late=$!
pids+=("$late")
wait_for "an answer" logged e1 '"id":"late-0".*"outcome":"answered"'
sleep 1
kill -TERM "${entry_pid[e1]}"
wait "$late"
answered=$(grep -c '"id":"late-[0-9]*".*"outcome":"answered"' "$workdir/e1.log")
[ "$(cat "$workdir/late")" = \
    "status 200, $((answered * 250000)) bytes x, end" ] && echo "whole answers"
