#!/bin/bash
# Runs SCRIPT over the programs in BINDIR; its standard output must be that of
# the .expected file beside it. The logs of a run that fails are kept.
set -u
if [ $# -ne 2 ]; then
	echo "usage: run.sh BINDIR SCRIPT" >&2
	exit 64
fi
expected=${2%.sh}.expected
actual=$(mktemp)
logs=$(mktemp -d)
trap 'rm -f "$actual"' EXIT
BINDIR=$1 KEEP_LOGS=$logs bash "$2" >"$actual"
status=$?
diff -u "$expected" "$actual" || status=1
if [ "$status" = 0 ]; then
	rm -rf "$logs"
else
	echo "logs: $logs"
fi
exit "$status"
