#!/bin/bash
# Groups of callers that exceed the limits, each against one instance: it lives,
# stays within the memory and the descriptors of a small machine, and answers an
# ordinary request while they hold their connections. Without bounds on all
# bytes and connections together, a few of them use up the machine.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"

MACHINE_KB=90112 # a small machine has 88 MB
MEMORY_KB=81920  # of which the kernel needs some
DESCRIPTORS=600

max_body_bytes=4194304
start_site shop1,shop,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
route order /order/ non_idempotent shop ',"timeout_ms":9000,"max_attempts":1'
configure

run_case chunks "large chunks, short of the end" chunks 60 4194304
run_case bytes "chunks of one byte, short of the end" bytes 24 4194304
run_case announced "announced and not delivered" announced 60 4194304
run_case over "over the limit, announced" over-announced 60 16777216
run_case chunked "over the limit, not announced" over-chunks 60 16777216
run_case closing "callers that close in the middle" closing 60 4194304
run_case heads "heads without an end" head 500 16000
run_case idle "more connections than descriptors" idle 700 0

echo "== more connections than descriptors, by the settings"
settings_entry fds
sed -i "s/\"instance\"/\"limits\": { \"max_fds\": $DESCRIPTORS }, &/" \
    "$workdir/fds.json"
start_instance fds
measure fds
crowd "${entry_caller[fds]}" idle 700 0
end_case fds

echo "== callers that don't read their answers"
begin_case unread
ctl worker/shop1/page
crowd "${entry_caller[unread]}" unread 150 0
ctl worker/shop1/well
end_case unread

echo "== bodies at the address for other instances"
begin_case control
crowd "${entry_control[control]}" chunks 60 4194304
end_case control

echo "== one request of the largest size, without load"
begin_case alone
head -c "$max_body_bytes" /dev/zero |
    call alone /order/x alone-1 -H 'Expect:' --data-binary @- -o /dev/null
end_case alone
