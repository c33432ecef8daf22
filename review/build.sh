#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js without dependencies: there is nothing to build, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */*.mjs; do
  node --check "$file"
done
