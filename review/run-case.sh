#!/usr/bin/env bash
# Runs the case whose folder is given, in the repository root, with a temporary folder for settings and logs.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1
program=review/build/case-$number
[ -x "$program" ] && [ -x target/arbutuscrank-entry ] || { echo "build first: deploy build, review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -s KILL 118 "$program" "review/$number/record.txt" "$folder"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
