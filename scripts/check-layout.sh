#!/bin/sh
# Checks what the linter doesn't: each C file begins with a comment on its
# purpose, and the core uses no I/O, clock or global random numbers.
set -eu
status=0
for file in $(git ls-files 'src/*.[ch]' 'platform/*.[ch]' 'test/*.[ch]' 'bench/*.[ch]' |
    grep -v '_xdr\.[ch]$'); do
	head -1 "$file" | grep -qE '^(///?|/\*)' || {
		echo "$file:1: opens without a comment on what it owns"
		status=1
	}
done
if grep -nE 'g_get_(monotonic|real)_time|g_random_|gettimeofday|clock_gettime|<gio/|<libsoup|<sys/socket' \
    $(git ls-files 'src/godwitvale/core/*.[ch]'); then
	echo "core: I/O, a clock or a global random source"
	status=1
fi
# Each layer of the entry role includes only those before it.
above=""
for layer in entry fleet site http; do
	for upper in $above; do
		if grep -n "\"godwitvale/$upper/" \
		    $(git ls-files "src/godwitvale/$layer/*.[ch]"); then
			echo "$layer includes $upper, which stands above it"
			status=1
		fi
	done
	above="$above $layer"
done
for other in serve upstream caller peer registry; do
	if grep -n "\"godwitvale/$other/" $(git ls-files 'platform/*.[ch]' \
	    'src/godwitvale/http/*.[ch]' 'src/godwitvale/site/*.[ch]' \
	    'src/godwitvale/fleet/*.[ch]' 'src/godwitvale/entry/*.[ch]'); then
		echo "the entry role includes $other"
		status=1
	fi
done
exit $status
