#!/usr/bin/env bash
# Runs every benchmark, one after another. docs/CAPACITY.md uses these figures.
# usage: bench.sh BUILD_DIR
set -euo pipefail
build=$1
for program in "$build"/*_bench; do
    echo "== $(basename "$program")"
    "$program"
done
