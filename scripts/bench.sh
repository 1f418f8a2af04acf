#!/usr/bin/env bash
# Runs all benchmarks one at a time, so that they do not compete for the CPU. docs/capacity-of-arbutuscrankd.md cites their results.
# Usage: bench.sh BUILD_DIR
set -euo pipefail
build=$1
for program in "$build"/*_bench; do
    echo "== $(basename "$program")"
    "$program"
done
