#!/usr/bin/env bash
# Builds the stand-ins of all cases that are scripts into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]/case.cpp; do
    number=${source%/case.cpp}
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/case-$number" &
done
for job in $(jobs -p); do wait "$job"; done
