#!/bin/sh
# Checks all stand-ins and cases. They are plain modules without dependencies, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
for file in stand_ins/*.mjs */case.mjs; do
  node --check "$file"
done
test -f ../target/jackdawlink-node.js || { echo "target/jackdawlink-node.js is missing: build the deploy file first"; exit 1; }
