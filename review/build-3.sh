#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start (cases 11 to 14). They are written in
# plain JavaScript beside the scripts, in review/lib-3, without packages, and use no stand-in of the
# project, so this only checks that the runtime can read them. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-4]/run.mjs; do
  node --check "$file"
done
echo "the stand-ins of review/lib-3 need no build"
