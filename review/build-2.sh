#!/usr/bin/env bash
# Prepares what the scripts of review/4 to review/8 start besides the bundle of the deploy file. The stand-ins are plain
# modules of Node without dependencies, so there is nothing to compile: they are only checked for syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
[ -e ../target/aldertide.cjs ] || { echo 'target/aldertide.cjs is missing: run node deploy/build.mjs' >&2; exit 1; }
