#!/bin/sh
# Case 14; see claim.txt. Needs the build of deploy/system.toml and
# review/build-3.sh. TROUBLE=0 leaves the disruption out. Writes record.txt here.
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
case=$root/target/review-3/case14
for program in "$root/target/godwitvale" "$case"; do
	[ -x "$program" ] && continue
	echo "not run: $(basename "$program") isn't built" | tee "$here/record.txt"
	exit 2
done
cd "$root" || exit 2
exec "$case" target/godwitvale "$here/record.txt"
