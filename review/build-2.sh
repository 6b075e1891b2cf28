#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain JavaScript modules and need no build; this checks that Node can read them.
# The programs under test are those that the build command of deploy/system.toml places in target/.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
[ -e ../target/tools/start.cjs ] || echo "target/ is missing: run the build command of deploy/system.toml first"
