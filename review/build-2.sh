#!/bin/sh
# Builds the project's stand-ins, which the scripts of cases 4 to 8 start, into dist/.
cd "$(dirname "$0")/.." && exec npm run --silent build
