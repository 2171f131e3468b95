#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts start; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p tsconfig.json
