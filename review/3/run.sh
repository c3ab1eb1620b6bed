#!/usr/bin/env bash
# Plays the case; exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")" || exit 2
[ -f ../../target/aldertide.cjs ] || (cd ../.. && node deploy/build.mjs) || exit 2
exec node case.mjs
