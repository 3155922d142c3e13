#!/bin/bash
# Runs SCRIPT over the programs in BINDIR; its standard output must be that of
# the .expected file beside it.
set -u
if [ $# -ne 2 ]; then
	echo "usage: run.sh BINDIR SCRIPT" >&2
	exit 64
fi
expected=${2%.sh}.expected
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT
BINDIR=$1 bash "$2" >"$actual"
status=$?
diff -u "$expected" "$actual" || status=1
exit "$status"
