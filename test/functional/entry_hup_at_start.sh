#!/bin/bash
# SIGHUP comes while an instance still reads its settings: it ended by that
# signal. It starts, and reads its settings again.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site shop1,shop,z1
usual_routes
configure
settings_entry e1
# A pipe in the place of the settings holds the instance up.
mv "$workdir/e1.json" "$workdir/settings"
mkfifo "$workdir/e1.json"
"$BINDIR/godwitvale" entry --settings "$workdir/e1.json" \
    >"$workdir/e1.log" 2>&1 &
entry_pid[e1]=$!
pids+=($!)
exec 4>"$workdir/e1.json"
kill -HUP "${entry_pid[e1]}"
cp "$workdir/settings" "$workdir/copy"
mv "$workdir/copy" "$workdir/e1.json"
cat "$workdir/settings" >&4
exec 4>&-
wait_for "e1 to be ready" is_ready e1
wait_for "the reload" logged e1 '"event":"reload","outcome":"taken"'
echo "it runs and has read its settings again"
