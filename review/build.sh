#!/bin/bash
# The stand-ins of the scripts are plain JavaScript without dependencies, so there is nothing to
# compile; this only checks that the runtime reads them. The program that the scripts start is the
# one that the deploy file's build makes.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
