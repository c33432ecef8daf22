#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are plain modules that run as they stand and use none of
# the project's own stand-ins, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [45678]/*.mjs; do
  node --check "$file"
done
