#!/bin/sh
# Runs one case from the repository's root: run-case-2.sh NUMBER. Exits with 0, 1 or 2, as its program does.
cd "$(dirname "$0")/.." || exit 2
program="target/review-2/case-$1"
if [ ! -x "$program" ] || [ ! -x target/release/meadowlug ]; then
    echo "not built: the build of deploy/balancer.toml and review/build-2.sh come first"
    exit 2
fi
exec "$program" "review/$1"
