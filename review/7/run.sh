#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. With
# TROUBLE=0 the same is done without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$here/../..
[ -x "$here/../rig-2/bin/7" ] || {
	echo "run review/build-2.sh first"
	exit 2
}
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$here/../rig-2/bin/7" "$root/target/godwitvale" "$here/record.txt"
