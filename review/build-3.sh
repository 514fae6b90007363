#!/bin/sh
# Builds the stand-ins and cases of the third review into target/review-3.
set -eu
cd "$(dirname "$0")/.."
from=review/testbed-3
out=target/review-3
mkdir -p "$out"
for name in weights kept_connections slow_readers drill many_hosts; do
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation \
		-pthread -o "$out/$name" "$from/$name.c" "$from/clients.c" \
		"$from/deployment.c" "$from/testbed.c"
done
