#!/bin/sh
# Builds the stand-ins, clients and cases of the second review, with the C
# compiler alone. Run after the build command of deploy/system.toml.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/rig-2/bin"
for dir in 6 7 8 9 10; do
	[ -f "$here/$dir/program.c" ] || continue
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread \
	    "$here/$dir/program.c" "$here/rig-2/rig.c" -o "$here/rig-2/bin/$dir" -lm
done
