#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run it in the repository root
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for source in review/harness-2/*.cpp; do
    object="target/review-2/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ target/review-2/*.o -o target/review-2/review-case -lpthread
