#!/bin/sh
# Builds the programs of the cases 11 to 14 into target/review-3. They need
# nothing but the C library.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/stand3/case*.c; do
	name=$(basename "$source" .c)
	cc -std=gnu11 -O1 -g -Wall -Wextra -o "$out/$name" "$source" \
	    review/stand3/stand3.c -lpthread
done
