#!/bin/bash
# Four drivers of the soak that start at the same moment use different ports.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"

drivers=()
for seed in 31000 31100 31200 31300; do
	run_program "$BINDIR/soak" --bindir "$BINDIR" --seeds 1 --from $seed \
	    --span 1
	drivers+=("$pid")
done
for number in 0 1 2 3; do
	wait "${drivers[number]}"
	echo "exit status $?: $(tail -1 "$workdir/$number.log")"
done
