#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs the compiler and the C++ library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for case in review/[0-9]*/case.cpp; do
  n=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" -o "build-review/case$n"
done
