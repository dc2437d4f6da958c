#!/usr/bin/env bash
# Runs the program of the case in the given folder, with the command of the deploy file and a temporary folder.
set -u
case_dir=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/review/target/case$(basename "$case_dir")"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] && [ -x "$program" ] && [ -x "$root/target/release/meadowlug" ] || { echo "not built"; exit 2; }
tmp=$(mktemp -d) || exit 2
CASE_DIR="$case_dir" CASE_TMP="$tmp" ROOT="$root" RUN="$run" TROUBLE="${TROUBLE:-1}" timeout -k 2 115 "$program"
code=$?
rm -rf "$tmp"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
