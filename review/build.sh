#!/bin/sh
# Builds the stand-ins of the cases; the build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/standin \
		-o "target/review/case$number" "$source" \
		review/standin/world.c review/standin/roll.c -lpthread
done
