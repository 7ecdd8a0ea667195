#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -DENDIVEPATH_DEPLOY_ONLY=ON \
    -DCMAKE_PROJECT_endivepath_INCLUDE="$PWD/review/harness/inject.cmake"
cmake --build build-review -j6 --target review-case
