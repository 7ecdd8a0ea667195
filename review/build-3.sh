#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, into target/review-3/. Needs packages of
# deploy/system.toml only (libasio-dev, nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -DASIO_STANDALONE -o target/review-3/cases \
    review/harness-3/net.cpp review/harness-3/world.cpp review/harness-3/cases.cpp -pthread
