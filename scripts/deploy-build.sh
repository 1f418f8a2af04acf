#!/usr/bin/env bash
# Builds in an empty clone what deploy/system.toml builds, so that nothing depends on files left by earlier builds.
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
