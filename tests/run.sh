#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors and the sanitizers, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
if [ ! -e /usr/include/gtest/gtest.h ] || ! command -v cmake g++ >/dev/null || ! dpkg -s $packages >/dev/null 2>&1; then
  apt-get update -q && apt-get install -qy g++ cmake make libgtest-dev $packages
fi
cmake -S . -B build-test -DCMAKE_BUILD_TYPE=RelWithDebInfo -DPEBBLENOTCH_BUILD_TESTS=ON -DPEBBLENOTCH_WERROR=ON \
  -DPEBBLENOTCH_SANITIZE=ON >/dev/null
cmake --build build-test -j4
ctest --test-dir build-test --output-on-failure -j4
