#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js 20 and need no build; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
    node --check "$file"
done
