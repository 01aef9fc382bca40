#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the deploy file's build. Their stand-ins, in
# review/stand-ins-2, are plain modules that need Node.js alone, so this only checks them.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/run.mjs 10/run.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
