#!/bin/bash
# Groups of misbehaving callers while a service doesn't answer, without the
# store and without workers: the instance lives, within its bounds, and answers
# an ordinary request.
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
start_site shop1,shop,z1 lm1,lm,z1
route check /check/ idempotent shop ',"timeout_ms":2000,"max_attempts":2'
route order /order/ non_idempotent shop ',"timeout_ms":9000,"max_attempts":1'
route slow /slow/ non_idempotent lm ',"timeout_ms":20000,"max_attempts":1'
configure

echo "== whole bodies for a service that doesn't answer"
begin_case mute
ctl worker/lm1/mute
crowd "${entry_caller[mute]}" whole 40 4000000 /slow/x
end_case mute
ctl worker/lm1/well

echo "== bodies while the store is away"
begin_case store
ctl store/silent
crowd "${entry_caller[store]}" chunks 60 4194304
ctl store/up
end_case store

echo "== bodies while no worker is there"
begin_case gone
ctl worker/shop1/gone
crowd "${entry_caller[gone]}" whole 60 4000000
ctl worker/shop1/back
end_case gone
