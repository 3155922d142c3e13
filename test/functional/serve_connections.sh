#!/bin/bash
# More connections than descriptors at the addresses of an instance of "serve":
# it lives, and answers an ordinary request while they stay open.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"
# shellcheck source=test/functional/serve_crowd.sh
. "$(dirname "$0")/serve_crowd.sh"

start_fleet
run_at "${caller_of[e1]}" "connections of callers" idle 600 0
run_at "${caller_of[e1]}" "heads without an end" head 600 1000
run_at "${operator_of[e1]}" "connections of operators" idle 600 0
run_at "${peer_of[e1]}" "connections of other instances" idle 600 0
check_logs
