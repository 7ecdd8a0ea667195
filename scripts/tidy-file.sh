#!/usr/bin/env bash
# Runs clang-tidy on one file: tidy-file.sh BUILD_DIR FILE. A passed run leaves a stamp named after
# the hash of the project's files that the source includes, so that an unchanged file is not linted
# again in the same build folder.
set -euo pipefail
build=$1
file=$2
stamps="$build/tidy-stamps"
mkdir -p "$stamps"
key=$( (cat .clang-tidy "$file"; git ls-files -co --exclude-standard '*.h' | xargs cat) | sha256sum | cut -c1-32)
[ ! -e "$stamps/$key" ] || exit 0
if ! out=$(clang-tidy-14 --quiet -p "$build" "$file" 2>/dev/null); then
    echo "$out"
    exit 1
fi
touch "$stamps/$key"
