#!/usr/bin/env bash
# Builds the programs of the cases review/11 to review/15, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for case in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -pthread -o "target/review/case-$number" "$case" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
