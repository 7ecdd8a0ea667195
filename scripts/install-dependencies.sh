#!/usr/bin/env bash
# Installs the compiler, tools and libraries from Debian's packages. Needs root.
set -euo pipefail
packages=(g++ cmake ninja-build clang-format-14 clang-tidy-14 ccache mold curl xxd
    librestinio-dev libhttp-parser-dev libasio-dev libcurl4-openssl-dev libmsgpack-cxx-dev
    nlohmann-json3-dev libcxxopts-dev libfmt-dev libabsl-dev libboost-dev libboost-test-dev
    libxxhash-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
