#!/usr/bin/env bash
# Prepares the cases 11 to 15 after the build of the deploy file. The stand-ins in lib-3 are plain JavaScript and use only
# modules of Node, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/tools/start.cjs || { echo "run the build of the deploy file first"; exit 2; }
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
    [ ! -f "$file" ] || node --check "$file"
done
