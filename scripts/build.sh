#!/usr/bin/env bash
# Configures and builds everything into build/ (or the folder named by BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
launcher=()
# Lets checkouts in different folders share the cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
if command -v ccache >/dev/null; then
    launcher=(-DCMAKE_C_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
linker=()
if command -v mold >/dev/null; then
    linker=(-DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=mold)
fi
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja "${launcher[@]}" "${linker[@]}" >/dev/null
cmake --build "$build"
