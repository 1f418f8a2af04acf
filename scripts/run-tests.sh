#!/usr/bin/env bash
# Runs all tests with ctest. Tests named in KNOWN-RED.txt are listed and left out of the verdict.
# usage: run-tests.sh BUILD_DIR JOBS
set -euo pipefail
build=$1
jobs=$2
known=""
if [ -s KNOWN-RED.txt ]; then
    known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's/[].[^$*\/]/\\&/g' | paste -sd '|')
fi
if [ -n "$known" ]; then
    echo "known failing tests, not part of the verdict (KNOWN-RED.txt):"
    sed -n 's/^test: */  /p' KNOWN-RED.txt
    ctest --test-dir "$build" --output-on-failure -j "$jobs" -R "^($known)\$" || true
    ctest --test-dir "$build" --output-on-failure -j "$jobs" -E "^($known)\$"
else
    ctest --test-dir "$build" --output-on-failure -j "$jobs"
fi
