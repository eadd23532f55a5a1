#!/usr/bin/env bash
# Builds the stand-ins and scenarios of cases 6 to 10 into build/review-2. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B build/review-2 -G Ninja
cmake --build build/review-2
