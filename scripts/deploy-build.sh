#!/usr/bin/env bash
# Runs the build command of deploy/system.toml in a fresh clone, so that it fails if it depends on uncommitted files or
# on the output of earlier builds. Then starts the built program with --help.
set -euo pipefail
clone=$(mktemp -d)
trap 'rm -rf "$clone"' EXIT
git clone --quiet --no-local . "$clone/arbutuscrank"
cd "$clone/arbutuscrank"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
echo "deploy build: $build"
bash -c "$build" >"$clone/build.log" 2>&1 || { tail -50 "$clone/build.log"; exit 1; }
run=$(sed -n 's/^run = "\([^" ]*\).*"$/\1/p' deploy/system.toml)
"./$run" --help >/dev/null
echo "deploy build: ok ($run)"
