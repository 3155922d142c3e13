#!/bin/bash
# More connections than descriptors at an instance of "serve", with a new one for
# each that is closed: it lives, and answers an ordinary request beside them.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
# shellcheck source=test/functional/crowds.sh
. "$(dirname "$0")/crowds.sh"
# shellcheck source=test/functional/serve_crowd.sh
. "$(dirname "$0")/serve_crowd.sh"

start_fleet
run_at "${caller_of[e1]}" "connections that come again" returning-idle 600 0
check_logs
