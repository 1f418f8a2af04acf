#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../run-case.sh" "$(basename "$(cd "$(dirname "$0")" && pwd)")"
