#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on them. Needs a configured build folder.
# clang-tidy skips files whose content, headers and rules have passed before, by a stamp per file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format-14 --dry-run --Werror
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tools/*.cpp' |
    xargs -r -P "$(nproc)" -n 1 scripts/tidy-file.sh "$build"
echo "style: formatter and linter found nothing"
