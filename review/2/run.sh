#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
ulimit -c 0 # a process that runs out of memory leaves no core file
cd "$(dirname "$0")" || exit 2
exec node case.mjs
