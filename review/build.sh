#!/usr/bin/env bash
# Builds the stand-ins and programs of the cases into review/out.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B out -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build out
