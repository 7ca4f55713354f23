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
failed=build-test/Testing/Temporary/LastTestsFailed.log
rm -f "$failed"
ctest --test-dir build-test --output-on-failure -j4 && exit 0
status=$?
# KNOWN-RED.txt names tests that fail for a fault that is known and not mended yet: TEST | cause | issue. They
# are run as all others are, and told; a failure of any other test counts.
[ -s "$failed" ] || exit "$status"
while IFS=: read -r _ name; do
  if ! awk -F ' [|] ' -v name="$name" '$1 == name { print; found = 1 } END { exit !found }' KNOWN-RED.txt; then
    echo "failed, and not in KNOWN-RED.txt: $name"
    exit "$status"
  fi
done <"$failed"
echo 'only tests of KNOWN-RED.txt failed'
