#!/bin/bash
# An engine answers with bytes without an end: the request ends soon, nothing
# incomplete looks complete, the connection is closed, and the engine's failure
# is counted once.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site raw:raw1,lm,z1
usual_routes
configure
settings_entry e1
start_instance e1

# resident: the instance's memory, in kilobytes.
resident()
{
	awk '/^VmRSS/ { print $2 }' "/proc/${entry_pid[e1]}/status"
}

# broken: how many broken answers are counted.
broken()
{
	get "${entry_metrics[e1]}/metrics" |
	    sed -n 's/.*attempts_total{service="lm",outcome="broken"} //p'
}

# answers_well: whether the engine is used again after an ejection.
answers_well()
{
	ctl worker/raw1/well
	draft e1 "w$((++n_calls))" 5 | grep -q '^id: 5$'
}
n_calls=0

wait_for "the engine" answers_well
start=$(resident)
for mode in endless-head endless-field endless-garbage endless-interim \
    endless-other endless-event; do
	before=$(broken)
	ctl "worker/raw1/$mode"
	status=$(draft e1 "s-$mode" 5 -H 'Deadline-Ms: 15000' -o "$workdir/body" \
	    -w '%{http_code}\n' | tail -1)
	wait_for "$mode to be closed" grep -q "^raw raw1 $mode closed" "$site_log"
	reason=$(grep -o "\"attempt-failed\",\"id\":\"s-$mode\".*\"reason\":\"[a-z-]*\"" \
	    "$workdir/e1.log" | sed 's/.*"reason"://')
	echo "$mode: $status, $reason, counted $(($(broken) - ${before:-0}))"
	wait_for "the engine after $mode" answers_well
done
[ $(($(resident) - start)) -le 16384 ] && echo "memory is bounded" ||
    echo "memory grew from $start to $(resident)"
echo "ended by a deadline: $(grep -c '"outcome":"deadline"' "$workdir/e1.log")"
