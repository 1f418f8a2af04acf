#!/usr/bin/env bash
# Runs all tests with ctest. Prints and runs the tests named in KNOWN-RED.txt too, but ignores their results in the exit
# status.
# Usage: run-tests.sh BUILD_DIR JOBS
set -euo pipefail
build=$1
jobs=$2
known=""
if [ -s KNOWN-RED.txt ]; then
    known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's/[].[^$*\/]/\\&/g' | paste -sd '|')
fi
if [ -n "$known" ]; then
    echo "known failing tests, whose results are ignored (KNOWN-RED.txt):"
    sed -n 's/^test: */  /p' KNOWN-RED.txt
    ctest --test-dir "$build" --output-on-failure -j "$jobs" -R "^($known)\$" || true
    ctest --test-dir "$build" --output-on-failure -j "$jobs" -E "^($known)\$"
else
    ctest --test-dir "$build" --output-on-failure -j "$jobs"
fi
