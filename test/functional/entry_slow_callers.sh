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
start_instance e1
wait_for "upstreams" logged e1 'upstream-added.*shop1'

# raw NAME ID [OPTION...]: a request of a caller that curl can't play.
raw()
{
	printf '%s\r\n' 'GET /page/x HTTP/1.1' 'Host: a.example' \
	    'Authorization: Token k1' "Attempt-Id: $2" 'Deadline-Ms: 24000' '' |
	    "$BINDIR/raw_caller" "${entry_caller[$1]}" "${@:3}"
}

echo "== a large answer that is read late"
ctl worker/shop1/big
raw e1 big-1 --read-after 5000
raw e1 big-2 --receive-buffer 4096 --read-after 5000
